package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/plan"
)

// pendingConfirmation is a confirmation whose response waits until all
// processes have the version.
type pendingConfirmation struct {
	requestID    uint64
	confirmation plan.Confirmation
	// deadline is when the response is sent even if processes are missing.
	deadline clock.Instant
	// missing are the IDs of the processes last known to lack the version.
	missing []string
	// isSettled is true once all processes are known, so missing is complete.
	isSettled bool
}
