package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff draws exponentially growing waits with full jitter.
type Backoff struct {
	base   time.Duration
	max    time.Duration
	random *rand.Rand
}

// NewBackoff makes a backoff that draws from random, which it shares with no
// other thread.
func NewBackoff(config Config, random *rand.Rand) *Backoff {
	return &Backoff{base: config.Base, max: config.Max, random: random}
}

// Limit returns the largest wait after the given number of failed attempts.
func (b *Backoff) Limit(failed int) time.Duration {
	limit := b.base
	for range failed - 1 {
		limit *= 2
		if limit >= b.max {
			return b.max
		}
	}
	return min(limit, b.max)
}

// Draw returns a wait between zero and Limit, both included.
func (b *Backoff) Draw(failed int) time.Duration {
	return time.Duration(b.random.Int64N(int64(b.Limit(failed)) + 1))
}
