package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Wait asks a Settler's owner to call Next at the given instant.
type Wait struct {
	// Until is the instant.
	Until clock.Instant
}

func (Wait) isStep() {}
