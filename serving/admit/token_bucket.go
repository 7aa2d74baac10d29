package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// burst is the time whose worth of requests a customer may make at once.
const burst = time.Second

// tokenBucket bounds a rate. The zero value has no bound.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	filledAt  clock.Instant
}

func (b *tokenBucket) size() float64 {
	return max(1, b.perSecond*burst.Seconds())
}

// setRate changes the rate. A bucket without a bound before starts full.
func (b *tokenBucket) setRate(perSecond float64) {
	if b.perSecond <= 0 {
		b.perSecond = perSecond
		b.tokens = b.size()
		return
	}
	b.perSecond = perSecond
	b.tokens = min(b.tokens, b.size())
}

// wait returns how long it is until a token can be taken; 0 is at once.
func (b *tokenBucket) wait(now clock.Instant) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	b.fill(now)
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

func (b *tokenBucket) fill(now clock.Instant) {
	if now.After(b.filledAt) {
		gained := now.Sub(b.filledAt).Seconds() * b.perSecond
		b.tokens = min(b.tokens+gained, b.size())
		b.filledAt = now
	}
}
