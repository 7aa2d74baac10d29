package engine

import (
	"container/heap"
	"slices"
)

// queue holds the waiting runs as a heap, ordered by priority (lowest number
// first) and then by arrival. It implements heap.Interface.
type queue struct {
	runs []*run
}

func (q *queue) enqueue(r *run) { heap.Push(q, r) }

func (q *queue) dequeue() *run {
	r, ok := heap.Pop(q).(*run)
	if !ok {
		return nil
	}
	return r
}

func (q *queue) remove(r *run) {
	if at := slices.Index(q.runs, r); at >= 0 {
		heap.Remove(q, at)
	}
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.runs) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.runs[i], q.runs[j]
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.arrival < b.arrival
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.runs[i], q.runs[j] = q.runs[j], q.runs[i] }

// Push implements heap.Interface.
func (q *queue) Push(v any) {
	if r, ok := v.(*run); ok {
		q.runs = append(q.runs, r)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.runs) - 1
	r := q.runs[last]
	q.runs[last] = nil
	q.runs = q.runs[:last]
	return r
}
