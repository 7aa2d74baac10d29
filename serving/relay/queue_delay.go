package relay

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// delayWeight is the weight of one observation in the moving delay.
	delayWeight = 0.3
	// delayHalfLife is the time in which an observed delay loses half of what it
	// says about the present.
	delayHalfLife = 1500 * time.Millisecond
)

// queueDelay is how long requests of one urgency wait at an upstream before it
// reads their prompts, from what was observed lately and from those that wait
// now: the age of the oldest one bounds the delay from below.
type queueDelay struct {
	value   time.Duration
	at      clock.Instant
	waiting []*attempt // in the order of their sends
}

// now returns the expected delay at an instant.
func (q *queueDelay) now(now clock.Instant) time.Duration {
	delay := q.decayed(now)
	if len(q.waiting) > 0 {
		oldest := q.waiting[0]
		delay = max(delay, now.Sub(oldest.sent)-oldest.predicted.alone)
	}
	return delay
}

func (q *queueDelay) decayed(now clock.Instant) time.Duration {
	halves := float64(now.Sub(q.at)) / float64(delayHalfLife)
	return time.Duration(float64(q.value) * math.Exp2(-halves))
}

func (q *queueDelay) sent(a *attempt) {
	q.waiting = append(q.waiting, a)
}

// ended takes an attempt that does not wait any more.
func (q *queueDelay) ended(a *attempt) {
	for i, other := range q.waiting {
		if other == a {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// observed takes the delay of an attempt that got its first event.
func (q *queueDelay) observed(delay time.Duration, now clock.Instant) {
	before := q.decayed(now)
	q.value = before + time.Duration(delayWeight*float64(max(delay, 0)-before))
	q.at = now
}
