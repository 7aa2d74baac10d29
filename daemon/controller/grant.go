package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
)

// grant lets a duty act under the fleet lease until a given instant.
type grant struct {
	fence    uint64
	until    clock.Instant
	acquired lease.Acquisition
}

// isValid reports whether the duty may act at this instant. It is to be asked
// with a fresh reading of the clock right before each act.
func (g grant) isValid(now clock.Instant) bool {
	return g.fence > 0 && now.Before(g.until)
}
