package reclaim

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// noted is a notice and when it came.
type noted struct {
	Notice
	at clock.Instant
}
