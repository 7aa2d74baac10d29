package operator

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// Confirmed is the answer to a confirmation.
type Confirmed struct {
	plan.Confirmation
	// Everywhere is true when every live process has the version or a later
	// one.
	Everywhere bool `json:"everywhere"`
	// Pending lists the live processes that have not reported it.
	Pending []Process `json:"pending"`
}
