package plan

// NotFoundError reports that there is no such plan.
type NotFoundError struct {
	// Plan names the plan.
	Plan string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "there is no plan " + e.Plan
}
