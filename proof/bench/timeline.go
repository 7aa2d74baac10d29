package bench

import (
	"container/heap"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// timeline runs events in the order of virtual time.
type timeline struct {
	now       clock.Instant
	events    eventHeap
	scheduled uint64
}

func (t *timeline) after(d time.Duration, run func()) {
	t.scheduled++
	heap.Push(&t.events, event{at: t.now.Add(d), sequence: t.scheduled, run: run})
}

// every runs a function at each multiple of a period until an instant.
func (t *timeline) every(first, period time.Duration, until clock.Instant, run func()) {
	var again func()
	again = func() {
		run()
		if t.now.Add(period).Before(until) {
			t.after(period, again)
		}
	}
	t.after(first, again)
}

// runUntil runs the events before an instant.
func (t *timeline) runUntil(end clock.Instant) {
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}
