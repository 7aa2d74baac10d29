package retry

import (
	"math/rand/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Policy decides on the failures of one process. It is owned by one thread.
// It holds one budget for each failure domain that it was told of, so the names
// must come from the configuration and not from callers.
type Policy struct {
	config  Config
	backoff *Backoff
	budgets map[string]*Budget
}

// NewPolicy makes a policy that draws its jitter from random.
func NewPolicy(config Config, random *rand.Rand) *Policy {
	return &Policy{
		config:  config,
		backoff: NewBackoff(config, random),
		budgets: make(map[string]*Budget),
	}
}

// Request notes the first attempt of a request in a failure domain.
func (p *Policy) Request(failureDomain string) {
	p.budget(failureDomain).Earn()
}

// Decide says whether the failed request is tried again. A Retry has spent its
// token; it is not given back if the attempt is not made.
func (p *Policy) Decide(failure Failure, now clock.Instant) Verdict {
	if !failure.Safe {
		return GiveUp{Err: &UnsafeError{}}
	}
	if failure.Attempts >= p.config.MaxAttempts {
		return GiveUp{Err: &AttemptsError{Attempts: failure.Attempts}}
	}
	at := now.Add(max(p.backoff.Draw(failure.Attempts), failure.RetryAfter))
	if end := at.Add(failure.Need); end.After(failure.Deadline) {
		return GiveUp{Err: &DeadlineError{Missing: end.Sub(failure.Deadline)}}
	}
	if !p.budget(failure.FailureDomain).Spend() {
		return GiveUp{Err: &BudgetError{FailureDomain: failure.FailureDomain}}
	}
	return Retry{At: at}
}

// Left returns the number of retries left in a failure domain.
func (p *Policy) Left(failureDomain string) int {
	return p.budget(failureDomain).Left()
}

func (p *Policy) budget(failureDomain string) *Budget {
	budget, ok := p.budgets[failureDomain]
	if !ok {
		budget = NewBudget(p.config)
		p.budgets[failureDomain] = budget
	}
	return budget
}
