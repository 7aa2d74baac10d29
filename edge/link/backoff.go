package link

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponentially growing delays with jitter.
type backoff struct {
	base    time.Duration
	max     time.Duration
	retries int
}

// next returns the delay before the next attempt. It is chosen at random between
// half of a span and the whole span, which starts at base and doubles with each
// attempt up to max.
func (b *backoff) next() time.Duration {
	span := b.base
	for range b.retries {
		span = min(span*2, b.max)
	}
	b.retries++
	half := span / 2
	return half + rand.N(half+1)
}
