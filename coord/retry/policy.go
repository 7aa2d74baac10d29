package retry

import (
	"math/rand/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Policy decides on the failures in one process. It must be used by one thread
// only. It keeps a budget for each failure domain that it was ever given, so the
// names must come from the configuration and not from callers.
type Policy struct {
	config  Config
	backoff *Backoff
	budgets map[string]*Budget
}

// NewPolicy returns a Policy that draws its jitter from random, which no other
// thread may use.
func NewPolicy(config Config, random *rand.Rand) *Policy {
	return &Policy{
		config:  config,
		backoff: NewBackoff(config, random),
		budgets: make(map[string]*Budget),
	}
}

// RecordRequest records the first attempt of a request in a failure domain.
func (p *Policy) RecordRequest(failureDomain string) {
	p.budget(failureDomain).Deposit()
}

// Decide returns whether and when the failed request is tried again. A Retry has
// withdrawn its token, which is not returned if the attempt is never made.
func (p *Policy) Decide(failure Failure, now clock.Instant) Decision {
	if !failure.SafeToRepeat {
		return GiveUp{Err: &UnsafeError{}}
	}
	if failure.Attempts >= p.config.MaxAttempts {
		return GiveUp{Err: &AttemptsError{Attempts: failure.Attempts}}
	}
	at := now.Add(max(p.backoff.RandomDelay(failure.Attempts), failure.RetryAfter))
	if end := at.Add(failure.MinDuration); end.After(failure.Deadline) {
		return GiveUp{Err: &DeadlineError{ExceededBy: end.Sub(failure.Deadline)}}
	}
	if !p.budget(failure.FailureDomain).TryWithdraw() {
		return GiveUp{Err: &BudgetError{FailureDomain: failure.FailureDomain}}
	}
	return Retry{At: at}
}

// Balance returns the number of whole retries left in a failure domain.
func (p *Policy) Balance(failureDomain string) int {
	return p.budget(failureDomain).Balance()
}

func (p *Policy) budget(failureDomain string) *Budget {
	budget, ok := p.budgets[failureDomain]
	if !ok {
		budget = NewBudget(p.config)
		p.budgets[failureDomain] = budget
	}
	return budget
}
