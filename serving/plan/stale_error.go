package plan

import "fmt"

// StaleError reports that a plan was made against a version of the configuration
// that is no longer in force.
type StaleError struct {
	// Plan is the ID of the plan.
	Plan string
	// Base is the version that the plan was made against.
	Base uint64
	// Head is the version in force.
	Head uint64
	// HeadPlan is the ID of the plan that became the version in force.
	HeadPlan string
	// HeadBy names the operator who confirmed the version in force. CheckConfirm
	// leaves it and Changed to the caller, who can read the stored versions.
	HeadBy string
	// Changed holds the changes from Base to Head.
	Changed []Change
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("plan %s was made against version %d, but version %d is in force: plan %s, confirmed by %q",
		e.Plan, e.Base, e.Head, e.HeadPlan, e.HeadBy)
}
