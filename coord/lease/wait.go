package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Wait requests a call of Next at the given instant.
type Wait struct {
	// Until is the instant of the call.
	Until clock.Instant
}

func (Wait) isStep() {}
