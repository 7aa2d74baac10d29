package attempt

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Send gives the right to send the request once. MaySend is to be called right
// before the first byte leaves.
type Send struct {
	// Attempt is the number of the attempt.
	Attempt uint32
	// Until is the instant from which the request must not be sent.
	Until clock.Instant
}

func (Send) isStep() {}
