package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// waiter is a confirmation that waits until all processes have the version.
type waiter struct {
	ticket       uint64
	confirmation plan.Confirmation
	// deadline is when the wait is over.
	deadline clock.Instant
	// missing are the processes without the version as last known.
	missing []string
	// isSettled is true once all processes are known.
	isSettled bool
}
