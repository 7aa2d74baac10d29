package confirm

// StaleChangeError reports that a row of Proposal.ExtraChanges did not have the
// expected version. The plan has not taken effect.
type StaleChangeError struct {
	// PlanID names the plan.
	PlanID string
	// Err is the conflict that the table service reported.
	Err error
}

// Error implements error.
func (e *StaleChangeError) Error() string {
	return "plan " + e.PlanID + " can't be confirmed: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StaleChangeError) Unwrap() error {
	return e.Err
}
