package link

import (
	"math/rand/v2"
	"time"
)

// backoff gives growing waits with jitter.
type backoff struct {
	base    time.Duration
	max     time.Duration
	retries int
}

// next returns the wait before the next attempt: a random time between a half
// and the whole of a span that doubles each time up to the maximum.
func (b *backoff) next() time.Duration {
	span := b.base
	for range b.retries {
		span = min(span*2, b.max)
	}
	b.retries++
	half := span / 2
	return half + rand.N(half+1)
}
