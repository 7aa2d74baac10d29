package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// burst is the size of a bucket, as the time in which it fills.
const burst = time.Second

// tokenBucket limits a rate. The zero value has no limit.
type tokenBucket struct {
	perSecond  float64
	tokens     float64
	refilledAt clock.Instant
}

func (b *tokenBucket) size() float64 {
	return max(1, b.perSecond*burst.Seconds())
}

// setRate changes the rate. A bucket that had no limit starts full.
func (b *tokenBucket) setRate(perSecond float64) {
	if b.perSecond <= 0 {
		b.perSecond = perSecond
		b.tokens = b.size()
		return
	}
	b.perSecond = perSecond
	b.tokens = min(b.tokens, b.size())
}

// timeToToken returns the time until a token can be taken; 0 means now.
func (b *tokenBucket) timeToToken(now clock.Instant) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	seconds := (1 - b.tokens) / b.perSecond
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

func (b *tokenBucket) take() {
	if b.perSecond > 0 {
		b.tokens--
	}
}

func (b *tokenBucket) refill(now clock.Instant) {
	if now.After(b.refilledAt) {
		gained := now.Sub(b.refilledAt).Seconds() * b.perSecond
		b.tokens = min(b.tokens+gained, b.size())
		b.refilledAt = now
	}
}
