package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Send grants the right to send the request once. Claim.MaySend must be called
// immediately before the first byte is sent.
type Send struct {
	// Attempt is the number of the attempt.
	Attempt uint32
	// Until is the deadline: the first instant at which the request must not be
	// sent any more.
	Until clock.Instant
}

func (Send) isStep() {}
