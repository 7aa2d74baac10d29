package host

import (
	"container/heap"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// timers is a heap of timers, the next one first. It implements heap.Interface.
type timers struct {
	list []*timer
	made uint64
}

func (t *timers) add(due clock.Instant, run func()) {
	t.made++
	heap.Push(t, &timer{due: due, order: t.made, run: run})
}

func (t *timers) runDue(now clock.Instant) {
	for len(t.list) > 0 && !t.list[0].due.After(now) {
		next, ok := heap.Pop(t).(*timer)
		if !ok {
			return
		}
		next.run()
	}
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	if a.due != b.due {
		return a.due.Before(b.due)
	}
	return a.order < b.order
}

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(v any) {
	if next, ok := v.(*timer); ok {
		t.list = append(t.list, next)
	}
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	next := t.list[last]
	t.list[last] = nil
	t.list = t.list[:last]
	return next
}
