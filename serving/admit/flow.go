package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// flow holds the waiting entries of one customer for one pool. It is a flow of
// weighted fair queueing: its virtual times are in seconds of work for each
// unit of the customer's share.
type flow struct {
	account *account
	pool    *poolQueue
	// onTime holds the items that can still meet their target, late the others.
	onTime, late itemHeap
	// virtualFinish is the virtual time at which the work dispatched so far ends.
	virtualFinish float64
	// work is the predicted work of the waiting entries.
	work time.Duration
	// running counts the dispatched entries.
	running int
	// skippedIn is the number of the last call of Next in which no upstream had
	// room for the head.
	skippedIn uint64
	// index is the index in poolQueue.flows.
	index int
}

func newFlow(a *account, p *poolQueue) *flow {
	return &flow{account: a, pool: p, onTime: itemHeap{order: byUrgency}, late: itemHeap{order: byUrgency}}
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

// demoteLate moves the first items on time to the late heap until the first one
// can still meet its target.
func (f *flow) demoteLate(now clock.Instant) {
	for it := f.onTime.first(); it != nil && it.startBy.Before(now); it = f.onTime.first() {
		f.onTime.remove(it)
		it.late = true
		f.late.add(it)
	}
}

// head returns the next item to dispatch: the first on time, or the first late
// one if that has a higher priority; nil if the flow is empty.
func (f *flow) head() *item {
	onTime, late := f.onTime.first(), f.late.first()
	if onTime == nil || late != nil && late.entry.Priority > onTime.entry.Priority {
		return late
	}
	return onTime
}

// virtualStart returns the virtual time at which the next entry would start.
func (f *flow) virtualStart() float64 {
	return max(f.virtualFinish, f.pool.virtualTime)
}

// charge moves the flow's virtual finish by an amount of work. A negative
// amount is a refund.
func (f *flow) charge(work time.Duration) {
	f.virtualFinish += work.Seconds() / f.account.share()
}

// backlogPerShare returns the number of waiting entries for each unit of the
// customer's share.
func (f *flow) backlogPerShare() float64 {
	return float64(f.len()) / f.account.share()
}

// leastUrgent returns the item to drop first: the last leaf of the late heap, or
// of the other one if no item is late. It is only approximately the least
// urgent, but takes no search. The flow must not be empty.
func (f *flow) leastUrgent() *item {
	if n := len(f.late.items); n > 0 {
		return f.late.items[n-1]
	}
	return f.onTime.items[len(f.onTime.items)-1]
}

// isIdle reports whether the flow has no entries and is not ahead of its share,
// so that a new flow in its place would be treated alike.
func (f *flow) isIdle() bool {
	return f.len() == 0 && f.running == 0 && f.virtualFinish <= f.pool.virtualTime
}

// isMoreUrgent reports whether the head of the flow goes before that of another:
// by priority, then those on time first, then by latest start. Late heads are
// ordered by virtual start, that is by share.
func (f *flow) isMoreUrgent(g *flow) bool {
	a, b := f.head(), g.head()
	if a.entry.Priority != b.entry.Priority {
		return a.entry.Priority > b.entry.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if a.late {
		return f.virtualStart() < g.virtualStart()
	}
	return a.startBy < b.startBy
}

// workBefore returns the predicted work of the items on time whose latest start
// is not after startBy.
func (f *flow) workBefore(startBy clock.Instant) time.Duration {
	var work time.Duration
	for _, it := range f.onTime.items {
		if it.startBy <= startBy {
			work += it.entry.PredictedWork
		}
	}
	return work
}
