package plan

// NotFoundError reports that no plan with the given ID exists.
type NotFoundError struct {
	// Plan is the ID of the plan.
	Plan string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "there is no plan " + e.Plan
}
