package plan

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// OverBudgetError reports that a plan costs more than was agreed.
type OverBudgetError struct {
	// Plan names the plan.
	Plan string
	// Of says whose cost it is: a member, "total", or "all slices" when the
	// members' slices add up to more than the total.
	Of string
	// MicrosPerHour is what it would be.
	MicrosPerHour intent.Micros
	// AgreedMicrosPerHour is what was agreed.
	AgreedMicrosPerHour intent.Micros
}

// Error implements error.
func (e *OverBudgetError) Error() string {
	return fmt.Sprintf("plan %s is over the budget of %s: %s an hour, agreed are %s",
		e.Plan, e.Of, e.MicrosPerHour, e.AgreedMicrosPerHour)
}
