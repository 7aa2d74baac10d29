package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// minRetryAfter is the minimum RetryAfter of a refusal that can be retried.
const minRetryAfter = 50 * time.Millisecond

// checkLimits refuses a request over the customer's rate or concurrency limit.
func (q *Queue) checkLimits(a *account, now clock.Instant) error {
	if wait := a.bucket.timeToToken(now); wait > 0 {
		return &RefusedError{Reason: request.LimitReached, RetryAfter: wait}
	}
	if a.isAtLimit() {
		return &RefusedError{Reason: request.LimitReached, RetryAfter: minRetryAfter}
	}
	return nil
}

// checkDeadline refuses an entry that is predicted to miss its deadline. While
// the pool runs nothing there is no throughput to predict from, so it admits
// every entry whose deadline is not over.
func (q *Queue) checkDeadline(f *flow, e Entry, now clock.Instant) error {
	if e.Deadline == 0 {
		return nil
	}
	if !now.Before(e.Deadline) {
		return &RefusedError{Reason: request.DeadlineUnmet}
	}
	if q.cfg.ArrivalOrder || f.pool.running == 0 {
		return nil
	}
	wait := f.pool.predictWait(f, f.pool.startBy(e))
	overrun := now.Add(wait + f.pool.predictWork(&e)).Sub(e.Deadline)
	if overrun <= 0 {
		return nil
	}
	return &RefusedError{Reason: request.DeadlineUnmet, RetryAfter: max(overrun, minRetryAfter)}
}

// makeRoom drops an entry of the flow with the most waiting entries for its
// share if the queue is full. It refuses the new entry if its own flow has as
// many for its share.
func (q *Queue) makeRoom(arriving *flow) error {
	if len(q.items) < q.cfg.Capacity {
		return nil
	}
	most := q.mostBacklogged()
	if most == nil || q.cfg.ArrivalOrder || most.backlogPerShare() <= arriving.backlogPerShare() {
		return &RefusedError{Reason: request.Overloaded, RetryAfter: q.drainTime(arriving.pool)}
	}
	q.drop(most.leastUrgent(), request.Overloaded)
	return nil
}

// mostBacklogged returns the flow with the most waiting entries for its share,
// over all pools.
func (q *Queue) mostBacklogged() *flow {
	var most *flow
	for _, p := range q.rotation {
		f := p.mostBacklogged()
		if f != nil && (most == nil || f.backlogPerShare() > most.backlogPerShare()) {
			most = f
		}
	}
	return most
}

// drainTime predicts how long the waiting work of a pool takes.
func (q *Queue) drainTime(p *poolQueue) time.Duration {
	seconds := p.work.Seconds() / p.throughput()
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
