package retry

// BudgetError reports that the retry budget of a failure domain is exhausted.
type BudgetError struct {
	// FailureDomain is the failure domain of the first attempt.
	FailureDomain string
}

// Error implements error.
func (e *BudgetError) Error() string {
	return "retry budget of failure domain " + e.FailureDomain + " is exhausted"
}
