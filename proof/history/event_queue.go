package history

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
