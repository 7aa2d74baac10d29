package hedge

import "time"

// Budget limits hedges to a share of the requests. It is a token bucket that each
// request fills a little. It must be used by one thread.
type Budget struct {
	config Config
	tokens float64
}

// NewBudget returns a Budget with a full burst.
func NewBudget(config Config) *Budget {
	config = config.withDefaults()
	return &Budget{config: config, tokens: config.Burst}
}

// RecordRequest adds the share of one request to the budget.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.config.Share, b.config.Burst)
}

// Delay returns how long after sending an attempt to call Take if there was no
// token by then. It returns false for an attempt that is never hedged.
func (b *Budget) Delay(a Attempt) (time.Duration, bool) {
	if b.config.Disabled || !a.Idempotent {
		return 0, false
	}
	delay := time.Duration(float64(a.PredictedFirstToken) * b.config.DelayFactor)
	return max(delay, b.config.MinDelay), true
}

// Take takes one hedge from the budget and returns true if there is one. It returns
// false while requests wait for the pool, since free capacity is for them.
func (b *Budget) Take(waiting int) bool {
	if b.config.Disabled || waiting > 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
