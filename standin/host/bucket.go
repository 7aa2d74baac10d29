package host

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Bucket is a token bucket that holds at most the tokens of one second. A rate
// of zero is no limit.
type Bucket struct {
	rate   float64
	tokens float64
	filled clock.Instant
}

// NewBucket makes a full bucket.
func NewBucket(perSecond float64, now clock.Instant) *Bucket {
	return &Bucket{rate: perSecond, tokens: max(perSecond, 1), filled: now}
}

// Take takes n tokens and reports whether they were there. More than the bucket
// holds are taken from a full bucket, which then owes the rest.
func (b *Bucket) Take(n float64, now clock.Instant) bool {
	if b.rate <= 0 {
		return true
	}
	b.fill(now)
	if b.tokens < min(n, b.capacity()) {
		return false
	}
	b.tokens -= n
	return true
}

// Reserve takes n tokens, also those that will only be there later, and
// returns the time until then.
func (b *Bucket) Reserve(n float64, now clock.Instant) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
	b.tokens -= n
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

func (b *Bucket) fill(now clock.Instant) {
	b.tokens += now.Sub(b.filled).Seconds() * b.rate
	b.tokens = min(b.tokens, b.capacity())
	b.filled = now
}

func (b *Bucket) capacity() float64 {
	return max(b.rate, 1)
}
