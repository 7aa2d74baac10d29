package retry

// GiveUp is the decision not to retry: the request ends with its last failure.
type GiveUp struct {
	// Err is an *UnsafeError, *AttemptsError, *BudgetError or *DeadlineError.
	Err error
}

func (GiveUp) isDecision() {}
