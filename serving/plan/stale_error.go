package plan

import "fmt"

// StaleError reports that the configuration has changed since a plan was made.
type StaleError struct {
	// Plan names the plan.
	Plan string
	// Base is the version that the plan was made against.
	Base uint64
	// Head is the version in force.
	Head uint64
	// HeadPlan names the plan that made the version in force.
	HeadPlan string
	// HeadBy is who confirmed the version in force.
	HeadBy string
	// Changed lists what changed meanwhile.
	Changed []Change
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("plan %s was made against version %d, but version %d is in force: plan %s, confirmed by %q",
		e.Plan, e.Base, e.Head, e.HeadPlan, e.HeadBy)
}
