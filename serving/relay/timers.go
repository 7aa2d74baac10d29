package relay

import "container/heap"

// timers is a heap of timers, the earliest first. It implements
// container/heap.Interface.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	if v, ok := x.(timer); ok {
		*t = append(*t, v)
	}
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (t *timers) add(x timer) {
	heap.Push(t, x)
}

func (t *timers) removeFirst() {
	heap.Pop(t)
}
