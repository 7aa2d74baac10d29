package bench

// retryBudget bounds retries to a share of the requests.
type retryBudget struct {
	tokens float64
}

// Bounds of the retry budget.
const (
	retryShare  = 0.08
	retryBurst  = 12.0
	maxAttempts = 3
)

func (b *retryBudget) request() {
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
