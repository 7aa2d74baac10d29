package confirm

// UnavailableError reports that the table service could not be used. The plan
// has not taken effect.
type UnavailableError struct {
	// PlanID names the plan.
	PlanID string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "plan " + e.PlanID + " was not confirmed: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
