package admit

import "container/heap"

// itemHeap is a binary heap of items. Each item stores its index in the heap, so
// that it can be removed from the middle.
type itemHeap struct {
	order order
	items []*item
}

func (h *itemHeap) first() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *itemHeap) add(it *item) {
	heap.Push(h, it)
}

func (h *itemHeap) remove(it *item) {
	heap.Remove(h, it.heapIndex[h.order])
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int {
	return len(h.items)
}

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool {
	return h.order.less(h.items[i], h.items[j])
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.order] = i
	h.items[j].heapIndex[h.order] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex[h.order] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}
