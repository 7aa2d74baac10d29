package entry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// stopTaking makes dispatch refuse requests that could not end by an instant.
type stopTaking struct {
	until clock.Instant
}

func (stopTaking) isDispatchMessage() {}
