package confirm

// UnavailableError reports that the table service could not be used. This
// confirmation had no effect and will have none. An earlier confirmation of the
// plan whose outcome was unknown keeps its own outcome: only a confirmation that
// reaches the table service tells.
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
