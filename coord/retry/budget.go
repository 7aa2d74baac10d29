package retry

const tokenUnit = 1000 // thousandths of a retry

// Budget is a token bucket that requests fill and retries empty. It starts
// empty, so that the retries never exceed the given share of the requests.
type Budget struct {
	perRequest int
	capacity   int
	tokens     int
}

// NewBudget makes the budget of one failure domain.
func NewBudget(config Config) *Budget {
	return &Budget{
		perRequest: config.RatioPerMille,
		capacity:   config.Burst * tokenUnit,
	}
}

// Earn notes a request, not a retry.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.perRequest, b.capacity)
}

// Spend takes one retry out of the budget. It reports false, and takes nothing,
// if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// Left returns the number of whole retries in the budget.
func (b *Budget) Left() int {
	return b.tokens / tokenUnit
}
