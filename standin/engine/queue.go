package engine

import (
	"container/heap"
	"slices"
)

// queue holds the runs that wait, the next one first: a lower priority number,
// then the earlier arrival. It implements heap.Interface.
type queue struct {
	list []*run
}

func (q *queue) add(r *run) { heap.Push(q, r) }

func (q *queue) take() *run {
	r, ok := heap.Pop(q).(*run)
	if !ok {
		return nil
	}
	return r
}

func (q *queue) remove(r *run) {
	if at := slices.Index(q.list, r); at >= 0 {
		heap.Remove(q, at)
	}
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.list) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }

// Push implements heap.Interface.
func (q *queue) Push(v any) {
	if r, ok := v.(*run); ok {
		q.list = append(q.list, r)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.list) - 1
	r := q.list[last]
	q.list[last] = nil
	q.list = q.list[:last]
	return r
}
