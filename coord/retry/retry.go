package retry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Retry lets the request be tried again.
type Retry struct {
	// At is the earliest instant of the next attempt.
	At clock.Instant
}

func (Retry) isVerdict() {}
