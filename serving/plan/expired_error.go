package plan

import "time"

// ExpiredError reports that a plan is too old to be confirmed.
type ExpiredError struct {
	// Plan is the ID of the plan.
	Plan string
	// Expired is when the plan expired.
	Expired time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "plan " + e.Plan + " expired at " + e.Expired.Format(time.RFC3339)
}
