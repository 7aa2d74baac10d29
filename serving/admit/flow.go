package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// flow holds the waiting entries of one customer for one pool.
type flow struct {
	account *account
	line    *line
	// onTime items can still meet their target, late ones can't.
	onTime, late itemHeap
	// finish is the virtual time at which the work dispatched so far ends.
	finish float64
	// work is the predicted work waiting.
	work time.Duration
	// running counts the dispatched entries.
	running int
	// probed is the number of the last call of Next that could not run it.
	probed uint64
	// position is its index in the line.
	position int
}

func newFlow(a *account, l *line) *flow {
	return &flow{account: a, line: l, onTime: itemHeap{order: byUrgency}, late: itemHeap{order: byUrgency}}
}

func (f *flow) len() int {
	return len(f.onTime.items) + len(f.late.items)
}

func (f *flow) add(it *item) {
	f.work += it.entry.PredictedWork
	f.heapOf(it).add(it)
}

func (f *flow) remove(it *item) {
	f.work -= it.entry.PredictedWork
	f.heapOf(it).remove(it)
}

func (f *flow) heapOf(it *item) *itemHeap {
	if it.late {
		return &f.late
	}
	return &f.onTime
}

// demote moves items that can't meet their target behind those that can.
func (f *flow) demote(now clock.Instant) {
	for it := f.onTime.first(); it != nil && it.startBy.Before(now); it = f.onTime.first() {
		f.onTime.remove(it)
		it.late = true
		f.late.add(it)
	}
}

func (f *flow) head() *item {
	onTime, late := f.onTime.first(), f.late.first()
	if onTime == nil || late != nil && late.entry.Priority > onTime.entry.Priority {
		return late
	}
	return onTime
}

// start is the virtual time at which the next entry would start.
func (f *flow) start() float64 {
	return max(f.finish, f.line.virtual)
}

// charge accounts for work, or gives some back.
func (f *flow) charge(work time.Duration) {
	f.finish += work.Seconds() / f.account.share()
}

// excess is the number of entries waiting for each unit of the share.
func (f *flow) excess() float64 {
	return float64(f.len()) / f.account.share()
}

// leastUrgent is an item that can be given up with the least harm.
func (f *flow) leastUrgent() *item {
	if n := len(f.late.items); n > 0 {
		return f.late.items[n-1]
	}
	return f.onTime.items[len(f.onTime.items)-1]
}

func (f *flow) isIdle() bool {
	return f.len() == 0 && f.running == 0 && f.finish <= f.line.virtual
}

// isMoreUrgent compares the heads of two flows: by priority, then those on time
// first, then by their latest start. Late ones are served by share.
func (f *flow) isMoreUrgent(g *flow) bool {
	a, b := f.head(), g.head()
	if a.entry.Priority != b.entry.Priority {
		return a.entry.Priority > b.entry.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if a.late {
		return f.start() < g.start()
	}
	return a.startBy < b.startBy
}

// workBefore is the work of the flow that has to start before an instant.
func (f *flow) workBefore(startBy clock.Instant) time.Duration {
	var work time.Duration
	for _, it := range f.onTime.items {
		if it.startBy <= startBy {
			work += it.entry.PredictedWork
		}
	}
	return work
}
