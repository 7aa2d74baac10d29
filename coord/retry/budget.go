package retry

// tokensPerRetry is the number of tokens of one retry. A request deposits
// Config.RatioPerMille tokens.
const tokensPerRetry = 1000

// Budget is a token bucket for retries. Each request deposits a share of a retry,
// up to Config.Burst retries, and each retry withdraws one. The bucket starts
// empty, so that retries never exceed the configured share of the requests.
type Budget struct {
	perRequest int
	capacity   int
	tokens     int
}

// NewBudget returns an empty budget for one failure domain.
func NewBudget(config Config) *Budget {
	return &Budget{
		perRequest: config.RatioPerMille,
		capacity:   config.Burst * tokensPerRetry,
	}
}

// Deposit adds the share of one request. Retries must not deposit.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.perRequest, b.capacity)
}

// TryWithdraw withdraws one retry. It returns false, and withdraws nothing, if less
// than one is left.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// Balance returns the number of whole retries left.
func (b *Budget) Balance() int {
	return b.tokens / tokensPerRetry
}
