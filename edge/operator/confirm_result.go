package operator

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// ConfirmResult is the response to a confirmation.
type ConfirmResult struct {
	plan.Confirmation
	// AllReported is true if every live process has reported the version or a later
	// one.
	AllReported bool `json:"everywhere"`
	// Pending lists the live processes that have not reported it yet.
	Pending []Process `json:"pending"`
}
