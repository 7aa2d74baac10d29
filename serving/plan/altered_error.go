package plan

// AlteredError reports that a plan is not as it was made.
type AlteredError struct {
	// Plan names the plan.
	Plan string
}

// Error implements error.
func (e *AlteredError) Error() string {
	return "plan " + e.Plan + " was altered: its digest does not match"
}
