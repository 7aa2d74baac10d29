package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Wait requests that the owner of a Resolver call Next at the given instant.
type Wait struct {
	// Until is the earliest instant of the call.
	Until clock.Instant
}

func (Wait) isStep() {}
