package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Wait asks the owner to call Next at the given instant.
type Wait struct {
	// Until is the instant.
	Until clock.Instant
}

func (Wait) isStep() {}
