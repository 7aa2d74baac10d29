package confirm

// UnavailableError reports that the table service failed. This confirmation had
// no effect and will have none. The outcome of an earlier confirmation of the
// same plan may still be unknown; only a confirmation that reaches the table
// service can determine it.
type UnavailableError struct {
	// PlanID names the plan.
	PlanID string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "this confirmation of plan " + e.PlanID + " had no effect: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
