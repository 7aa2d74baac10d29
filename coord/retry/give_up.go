package retry

// GiveUp ends the request with the failure that it had.
type GiveUp struct {
	// Err is an *UnsafeError, *AttemptsError, *BudgetError or *DeadlineError.
	Err error
}

func (GiveUp) isVerdict() {}
