package confirm

import "fmt"

// ConflictError reports that the plan was not made against the newest version,
// usually because another plan was confirmed first. This plan never takes
// effect; a new one must be made against the head.
type ConflictError struct {
	// PlanID names the plan that was rejected.
	PlanID string
	// Base is the version that the plan was made against.
	Base uint64
	// Head is the newest version.
	Head Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("plan %s was made against version %d, but plan %s has made version %d",
		e.PlanID, e.Base, e.Head.PlanID, e.Head.Version)
}
