package bench

// eventHeap orders events by time. It implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int {
	return len(h)
}

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
