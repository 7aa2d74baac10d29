package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes random delays with full jitter. Their maximum grows
// exponentially with the number of failed attempts.
type Backoff struct {
	base   time.Duration
	max    time.Duration
	random *rand.Rand
}

// NewBackoff returns a Backoff that draws from random, which no other thread may
// use.
func NewBackoff(config Config, random *rand.Rand) *Backoff {
	return &Backoff{base: config.BaseBackoff, max: config.MaxBackoff, random: random}
}

// MaxDelay returns the largest delay after the given number of failed attempts.
func (b *Backoff) MaxDelay(failed int) time.Duration {
	limit := b.base
	for range failed - 1 {
		limit *= 2
		if limit >= b.max {
			return b.max
		}
	}
	return min(limit, b.max)
}

// RandomDelay returns a random delay from 0 to MaxDelay, both included.
func (b *Backoff) RandomDelay(failed int) time.Duration {
	return time.Duration(b.random.Int64N(int64(b.MaxDelay(failed)) + 1))
}
