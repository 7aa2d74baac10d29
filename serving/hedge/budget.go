package hedge

import "time"

// Budget bounds hedges to a share of the requests. One thread owns it.
type Budget struct {
	cfg    Config
	tokens float64
}

// NewBudget returns a Budget with a full burst.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Request notes a request, which adds to the budget.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Burst)
}

// Delay is the time after the sending of an attempt at which Take is to be
// asked, if no first token came before. It reports false for an attempt that is
// never hedged.
func (b *Budget) Delay(a Attempt) (time.Duration, bool) {
	if b.cfg.Disabled || !a.Idempotent {
		return 0, false
	}
	late := time.Duration(float64(a.PredictedFirstToken) * b.cfg.Lateness)
	return max(late, b.cfg.MinDelay), true
}

// Take spends a hedge if the budget has one. While requests wait for the pool
// its room is for them, and there is no hedge.
func (b *Budget) Take(waiting int) bool {
	if b.cfg.Disabled || waiting > 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
