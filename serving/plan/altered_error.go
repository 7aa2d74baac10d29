package plan

// AlteredError reports that a plan's content doesn't match its digest or ID.
type AlteredError struct {
	// Plan is the ID of the plan.
	Plan string
}

// Error implements error.
func (e *AlteredError) Error() string {
	return "plan " + e.Plan + " was altered: its digest does not match"
}
