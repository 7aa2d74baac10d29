package relay

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// delayWeight is the weight of one observation in the moving average.
	delayWeight = 0.3
	// delayHalfLife is the time in which the average falls by half without new
	// observations.
	delayHalfLife = 1500 * time.Millisecond
)

// queueDelay estimates how long requests of one priority wait at an upstream
// before it reads their prompts. It is a decaying average of past delays, but at
// least the time that the oldest waiting request has already waited.
type queueDelay struct {
	value   time.Duration
	at      clock.Instant
	waiting []*attempt // without a first event, oldest first
}

// estimate returns the expected delay.
func (q *queueDelay) estimate(now clock.Instant) time.Duration {
	delay := q.decayed(now)
	if len(q.waiting) > 0 {
		oldest := q.waiting[0]
		delay = max(delay, now.Sub(oldest.sent)-oldest.predicted.unloaded)
	}
	return delay
}

func (q *queueDelay) decayed(now clock.Instant) time.Duration {
	halves := float64(now.Sub(q.at)) / float64(delayHalfLife)
	return time.Duration(float64(q.value) * math.Exp2(-halves))
}

// enqueue adds an attempt that was sent.
func (q *queueDelay) enqueue(a *attempt) {
	q.waiting = append(q.waiting, a)
}

// dequeue removes an attempt that got its first event or has ended.
func (q *queueDelay) dequeue(a *attempt) {
	for i, other := range q.waiting {
		if other == a {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// observe adds the delay of an attempt that got its first event.
func (q *queueDelay) observe(delay time.Duration, now clock.Instant) {
	before := q.decayed(now)
	q.value = before + time.Duration(delayWeight*float64(max(delay, 0)-before))
	q.at = now
}
