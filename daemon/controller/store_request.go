package controller

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// storeRequest asks the store duty for something. Its answer bears the ticket.
type storeRequest struct {
	kind   storeKind
	ticket uint64
	// plan is the plan of a savePlan.
	plan *plan.Plan
	// id names the plan of a loadPlan or confirmPlan.
	id string
	// by names the operator of a confirmPlan.
	by string
}
