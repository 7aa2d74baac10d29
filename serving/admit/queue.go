package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// maxProbes bounds the entries of one pool that one call of Next offers.
const maxProbes = 4

// Queue holds the requests that wait for a replica, in bounded room. It gives
// them out in the order of their latest start, with weighted fair shares
// between customers. One thread owns it.
type Queue struct {
	cfg      Config
	accounts map[string]*account
	lines    map[string]*line
	// rotation holds the lines in the order in which Next tries them.
	rotation []*line
	items    map[uint64]*item
	expiry   itemHeap
	free     []*item
	dropped  []Dropped
	calls    uint64
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:      cfg.withDefaults(),
		accounts: make(map[string]*account),
		lines:    make(map[string]*line),
		items:    make(map[uint64]*item),
		expiry:   itemHeap{order: byExpiry},
	}
}

// SetCustomers replaces what customers may use. Entries of customers that are
// not named any more stay in the queue.
func (q *Queue) SetCustomers(customers []Customer) {
	for _, a := range q.accounts {
		a.configured = false
	}
	for _, c := range customers {
		a := q.account(c.Name)
		a.customer = c
		a.configured = true
		a.bucket.setRate(c.RequestsPerSecond)
	}
	for name := range q.accounts {
		q.forgetAccount(name)
	}
}

// SetLimit changes this gateway's part of a customer's limits; 0 is no bound.
func (q *Queue) SetLimit(customer string, perSecond float64, concurrent int) {
	if a := q.accounts[customer]; a != nil {
		a.customer.RequestsPerSecond = perSecond
		a.customer.MaxConcurrent = concurrent
		a.bucket.setRate(perSecond)
	}
}

// Admit takes an entry, whose ID no other entry in progress has, or returns a
// *RefusedError.
func (q *Queue) Admit(e Entry, now clock.Instant) error {
	a := q.account(e.Customer)
	if err := q.checkLimits(a, now); err != nil {
		q.forgetAccount(e.Customer)
		return err
	}
	f := q.flow(a, e.Pool)
	if err := q.checkDeadline(f, e, now); err != nil {
		q.forgetFlow(f)
		return err
	}
	if err := q.makeRoom(f); err != nil {
		q.forgetFlow(f)
		return err
	}
	a.bucket.take()
	a.inProgress++
	// Making room may have freed the line.
	q.insert(q.flow(a, e.Pool), e)
	return nil
}

// Requeue takes back an entry that Next gave out, without checks, for another
// attempt. It may exceed the capacity by the number of entries dispatched.
func (q *Queue) Requeue(e Entry) {
	f := q.flow(q.account(e.Customer), e.Pool)
	q.stopRunning(f)
	f.charge(-e.PredictedWork)
	q.insert(f, e)
}

// Next takes out the entry that is to be dispatched next, if canRun says of
// one of the first in order that an upstream has room for it.
func (q *Queue) Next(now clock.Instant, canRun func(Entry) bool) (Entry, bool) {
	q.calls++
	for i, l := range q.rotation {
		if l.waiting == 0 {
			continue
		}
		if f := q.runnable(l, now, canRun); f != nil {
			q.rotate(i)
			return q.dispatch(f), true
		}
	}
	return Entry{}, false
}

// Expired takes out the entries that can't meet their deadline any more, and
// returns them with those that were displaced by others.
func (q *Queue) Expired(now clock.Instant) []Dropped {
	for it := q.expiry.first(); it != nil && it.expires.Before(now); it = q.expiry.first() {
		q.drop(it, request.DeadlineUnmet)
	}
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// Remove takes out a waiting entry that its caller gave up. It reports whether
// the entry was waiting.
func (q *Queue) Remove(id uint64) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	f := it.flow
	f.account.inProgress--
	q.take(it)
	q.forgetFlow(f)
	return true
}

// FirstToken notes that the first token of a dispatched entry came after a
// time at the upstream.
func (q *Queue) FirstToken(e Entry, after time.Duration) {
	if l := q.lines[e.Pool]; l != nil {
		l.correction(e.Priority).add(after, e.PredictedFirstToken)
	}
}

// Finished notes that a dispatched entry ended, well or not, after a time at
// upstreams.
func (q *Queue) Finished(e Entry, serviceTime time.Duration) {
	f := q.flow(q.account(e.Customer), e.Pool)
	f.account.inProgress--
	f.charge(serviceTime - e.PredictedWork)
	f.line.observeWork(serviceTime, e.PredictedWork)
	q.stopRunning(f)
	q.forgetFlow(f)
}

// Len is the number of entries waiting.
func (q *Queue) Len() int {
	return len(q.items)
}

// Waiting is the number of entries waiting for a pool.
func (q *Queue) Waiting(pool string) int {
	if l := q.lines[pool]; l != nil {
		return l.waiting
	}
	return 0
}

// NextDeadline is the first instant at which Expired has something to return.
func (q *Queue) NextDeadline() (clock.Instant, bool) {
	if len(q.dropped) > 0 {
		return 0, true
	}
	it := q.expiry.first()
	if it == nil || it.expires == never {
		return 0, false
	}
	return it.expires + 1, true
}
