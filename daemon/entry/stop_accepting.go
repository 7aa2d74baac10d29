package entry

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// stopAccepting makes dispatch refuse requests that may not end by an instant.
type stopAccepting struct {
	until clock.Instant
}

func (stopAccepting) isDispatchMessage() {}
