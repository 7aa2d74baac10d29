package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// maxProbes is the maximum number of entries of one pool that one call of Next
// offers to canRun.
const maxProbes = 4

// Queue is a bounded queue of the requests that wait for a replica. It also
// counts the dispatched ones, until Finish or Requeue. It is not safe for
// concurrent use: one thread owns it.
type Queue struct {
	cfg      Config
	accounts map[string]*account
	pools    map[string]*poolQueue
	// rotation holds the pools in the order in which Next tries them.
	rotation []*poolQueue
	// items holds the waiting items by entry ID, and expiry by latest start.
	items  map[uint64]*item
	expiry itemHeap
	// free holds unused items for reuse.
	free []*item
	// dropped holds entries that DropExpired has not returned yet.
	dropped []Dropped
	// round is the number of the present call of Next.
	round uint64
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:      cfg.withDefaults(),
		accounts: make(map[string]*account),
		pools:    make(map[string]*poolQueue),
		items:    make(map[uint64]*item),
		expiry:   itemHeap{order: byExpiry},
	}
}

// SetCustomers replaces the limits and shares of all customers. A customer that
// is no longer named keeps its own until its last entry ends.
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
		q.pruneAccount(name)
	}
}

// SetLimit changes this gateway's part of a customer's limits; 0 means no limit.
// It ignores a customer that is neither configured nor has entries.
func (q *Queue) SetLimit(customer string, perSecond float64, concurrent int) {
	if a := q.accounts[customer]; a != nil {
		a.customer.RequestsPerSecond = perSecond
		a.customer.MaxConcurrent = concurrent
		a.bucket.setRate(perSecond)
	}
}

// Admit adds an entry to the queue or returns a *RefusedError. The ID must be
// unique among the entries in progress.
func (q *Queue) Admit(e Entry, now clock.Instant) error {
	a := q.account(e.Customer)
	if err := q.checkLimits(a, now); err != nil {
		q.pruneAccount(e.Customer)
		return err
	}
	f := q.flow(a, e.Pool)
	if err := q.checkDeadline(f, e, now); err != nil {
		q.pruneFlow(f)
		return err
	}
	if err := q.makeRoom(f); err != nil {
		q.pruneFlow(f)
		return err
	}
	a.bucket.take()
	a.inProgress++
	// makeRoom may have removed the flow and its pool.
	q.insert(q.flow(a, e.Pool), e)
	return nil
}

// Requeue puts a dispatched entry back for another attempt, without checks. The
// queue can therefore exceed its capacity by the number of dispatched entries.
func (q *Queue) Requeue(e Entry) {
	f := q.flow(q.account(e.Customer), e.Pool)
	q.decrementRunning(f)
	f.charge(-e.PredictedWork)
	q.insert(f, e)
}

// Next removes and returns the entry to dispatch next. It offers the first few
// entries of each pool to canRun, which reports whether an upstream has room for
// one; it returns false if none has. Pools take turns.
func (q *Queue) Next(now clock.Instant, canRun func(Entry) bool) (Entry, bool) {
	q.round++
	for i, p := range q.rotation {
		if p.waiting == 0 {
			continue
		}
		if f := q.runnableFlow(p, now, canRun); f != nil {
			q.rotate(i)
			return q.dispatch(f), true
		}
	}
	return Entry{}, false
}

// DropExpired removes the entries that can no longer meet their deadline, and
// returns them with those that Admit dropped to make room.
func (q *Queue) DropExpired(now clock.Instant) []Dropped {
	for it := q.expiry.first(); it != nil && it.expires.Before(now); it = q.expiry.first() {
		q.drop(it, request.DeadlineUnmet)
	}
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

// Remove removes a waiting entry, such as one that its caller canceled. It
// reports whether the entry was waiting.
func (q *Queue) Remove(id uint64) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	f := it.flow
	f.account.inProgress--
	q.take(it)
	q.pruneFlow(f)
	return true
}

// ObserveFirstToken corrects later predictions by the time that the first token
// of a dispatched entry took at the upstream.
func (q *Queue) ObserveFirstToken(e Entry, after time.Duration) {
	if p := q.pools[e.Pool]; p != nil {
		p.firstTokenError(e.Priority).add(after, e.PredictedFirstToken)
	}
}

// Finish ends the accounting of a dispatched entry, completed or failed, and
// replaces its predicted work by the time that it took at upstreams.
func (q *Queue) Finish(e Entry, serviceTime time.Duration) {
	f := q.flow(q.account(e.Customer), e.Pool)
	f.account.inProgress--
	f.charge(serviceTime - e.PredictedWork)
	f.pool.observeWork(serviceTime, e.PredictedWork)
	q.decrementRunning(f)
	q.pruneFlow(f)
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int {
	return len(q.items)
}

// Waiting returns the number of entries waiting for a pool.
func (q *Queue) Waiting(pool string) int {
	if p := q.pools[pool]; p != nil {
		return p.waiting
	}
	return 0
}

// NextDeadline returns the first instant at which DropExpired has something to
// return, or false if no entry has a deadline.
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
