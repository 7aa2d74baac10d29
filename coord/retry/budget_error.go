package retry

// BudgetError reports that the retry budget of a failure domain is spent.
type BudgetError struct {
	// FailureDomain is where the first attempt was sent.
	FailureDomain string
}

// Error implements error.
func (e *BudgetError) Error() string {
	return "retry budget of failure domain " + e.FailureDomain + " is spent"
}
