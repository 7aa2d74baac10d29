package admit

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// startBy returns the latest start with which an entry meets its target, or its
// deadline if it has no target.
func (p *poolQueue) startBy(e Entry) clock.Instant {
	if e.FirstTokenBy == 0 {
		return p.expires(e)
	}
	return e.FirstTokenBy.Add(-e.PredictedFirstToken - p.firstTokenError(e.Priority).margin())
}

// expires returns the latest start with which an entry meets its deadline.
func (p *poolQueue) expires(e Entry) clock.Instant {
	if e.Deadline == 0 {
		return never
	}
	return e.Deadline.Add(-p.predictWork(&e))
}

func (q *Queue) insert(f *flow, e Entry) {
	it := q.newItem()
	it.entry = e
	it.flow = f
	it.late = false
	it.startBy = f.pool.startBy(e)
	it.expires = f.pool.expires(e)
	if q.cfg.ArrivalOrder {
		it.startBy = e.Arrived
	}
	q.items[e.ID] = it
	q.expiry.add(it)
	f.add(it)
	f.pool.work += e.PredictedWork
	f.pool.waiting++
}

// take removes an item from the queue and returns its entry.
func (q *Queue) take(it *item) Entry {
	e := it.entry
	f := it.flow
	f.remove(it)
	f.pool.work -= e.PredictedWork
	f.pool.waiting--
	q.expiry.remove(it)
	delete(q.items, e.ID)
	*it = item{}
	q.free = append(q.free, it)
	return e
}

// drop removes an item and records it for DropExpired, with the reason.
func (q *Queue) drop(it *item, reason request.Reason) {
	f := it.flow
	f.account.inProgress--
	q.dropped = append(q.dropped, Dropped{Entry: q.take(it), Reason: reason})
	q.pruneFlow(f)
}

func (q *Queue) newItem() *item {
	last := len(q.free) - 1
	if last < 0 {
		return &item{}
	}
	it := q.free[last]
	q.free = q.free[:last]
	return it
}
