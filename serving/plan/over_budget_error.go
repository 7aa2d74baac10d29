package plan

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// OverBudgetError reports that a plan costs more than agreed, or that the
// members' slices of the budget do.
type OverBudgetError struct {
	// Plan is the ID of the plan.
	Plan string
	// Budget names the exceeded budget: a member, "total" for the cost of all
	// members, or "all slices" if the members' slices add up to more than the
	// total.
	Budget string
	// MicrosPerHour is the cost, or the sum of the slices.
	MicrosPerHour intent.Micros
	// AgreedMicrosPerHour is the agreed limit.
	AgreedMicrosPerHour intent.Micros
}

// Error implements error.
func (e *OverBudgetError) Error() string {
	return fmt.Sprintf("plan %s is over the budget of %s: %s an hour, agreed are %s",
		e.Plan, e.Budget, e.MicrosPerHour, e.AgreedMicrosPerHour)
}
