package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
)

// grant permits a duty to act under the fleet lease until it expires.
type grant struct {
	fence     uint64
	expiresAt clock.Instant
	acquired  lease.Acquisition
}

// isValid reports whether the duty may act at this instant. Callers check it
// with a fresh clock reading right before each act.
func (g grant) isValid(now clock.Instant) bool {
	return g.fence > 0 && now.Before(g.expiresAt)
}
