package retry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Retry is the decision to try the request again.
type Retry struct {
	// At is the earliest instant of the next attempt.
	At clock.Instant
}

func (Retry) isDecision() {}
