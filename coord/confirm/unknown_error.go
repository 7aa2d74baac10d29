package confirm

// UnknownError reports that the plan may have taken effect or may still do so.
// Confirming it again is safe and determines the outcome.
type UnknownError struct {
	// PlanID names the plan.
	PlanID string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "it is unknown whether plan " + e.PlanID + " was confirmed: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
