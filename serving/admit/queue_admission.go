package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// minRetryAfter is the least time after which a refused caller is asked back.
const minRetryAfter = 50 * time.Millisecond

func (q *Queue) checkLimits(a *account, now clock.Instant) error {
	if wait := a.bucket.wait(now); wait > 0 {
		return &RefusedError{Reason: request.LimitReached, RetryAfter: wait}
	}
	if a.isFull() {
		return &RefusedError{Reason: request.LimitReached, RetryAfter: minRetryAfter}
	}
	return nil
}

// checkDeadline refuses what is predicted to miss its deadline. While nothing
// runs there is no prediction to trust, and the entry is let in.
func (q *Queue) checkDeadline(f *flow, e Entry, now clock.Instant) error {
	if e.Deadline == 0 {
		return nil
	}
	if !now.Before(e.Deadline) {
		return &RefusedError{Reason: request.DeadlineUnmet}
	}
	if q.cfg.ArrivalOrder || f.line.running == 0 {
		return nil
	}
	wait := f.line.wait(f, f.line.startBy(e))
	late := now.Add(wait + f.line.predict(&e)).Sub(e.Deadline)
	if late <= 0 {
		return nil
	}
	return &RefusedError{Reason: request.DeadlineUnmet, RetryAfter: max(late, minRetryAfter)}
}

// makeRoom gives up an entry of the flow that holds the most for its share if
// the queue is full. It refuses if that is the newcomer's own.
func (q *Queue) makeRoom(newcomer *flow) error {
	if len(q.items) < q.cfg.Capacity {
		return nil
	}
	most := q.mostExcess()
	if most == nil || q.cfg.ArrivalOrder || most.excess() <= newcomer.excess() {
		return &RefusedError{Reason: request.Overloaded, RetryAfter: q.drainTime(newcomer.line)}
	}
	q.drop(most.leastUrgent(), request.Overloaded)
	return nil
}

// mostExcess returns the flow that holds the most entries for its share.
func (q *Queue) mostExcess() *flow {
	var most *flow
	for _, l := range q.rotation {
		f := l.mostExcess()
		if f != nil && (most == nil || f.excess() > most.excess()) {
			most = f
		}
	}
	return most
}

// drainTime predicts how long the waiting work of a line takes.
func (q *Queue) drainTime(l *line) time.Duration {
	seconds := l.work.Seconds() / l.throughput()
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
