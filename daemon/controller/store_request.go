package controller

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// storeRequest is a request to the store duty. The result has the same request
// ID.
type storeRequest struct {
	kind      storeKind
	requestID uint64
	// plan is the plan to save in a savePlan.
	plan *plan.Plan
	// planID identifies the plan of a loadPlan or confirmPlan.
	planID string
	// operator is the name of the operator in a confirmPlan.
	operator string
}
