package admit

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// startBy is the latest start by which an entry can meet its target, or its
// deadline where it has no target.
func (l *line) startBy(e Entry) clock.Instant {
	if e.FirstTokenBy == 0 {
		return l.expires(e)
	}
	return e.FirstTokenBy.Add(-e.PredictedFirstToken - l.correction(e.Priority).margin())
}

// expires is the latest start by which an entry can meet its deadline.
func (l *line) expires(e Entry) clock.Instant {
	if e.Deadline == 0 {
		return never
	}
	return e.Deadline.Add(-l.predict(&e))
}

func (q *Queue) insert(f *flow, e Entry) {
	it := q.newItem()
	it.entry = e
	it.flow = f
	it.late = false
	it.startBy = f.line.startBy(e)
	it.expires = f.line.expires(e)
	if q.cfg.ArrivalOrder {
		it.startBy = e.Arrived
	}
	q.items[e.ID] = it
	q.expiry.add(it)
	f.add(it)
	f.line.work += e.PredictedWork
	f.line.waiting++
}

// take removes an item from every structure and returns its entry.
func (q *Queue) take(it *item) Entry {
	e := it.entry
	f := it.flow
	f.remove(it)
	f.line.work -= e.PredictedWork
	f.line.waiting--
	q.expiry.remove(it)
	delete(q.items, e.ID)
	*it = item{}
	q.free = append(q.free, it)
	return e
}

func (q *Queue) drop(it *item, reason request.Reason) {
	f := it.flow
	f.account.inProgress--
	q.dropped = append(q.dropped, Dropped{Entry: q.take(it), Reason: reason})
	q.forgetFlow(f)
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
