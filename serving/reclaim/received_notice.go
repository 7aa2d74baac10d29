package reclaim

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// receivedNotice is a notice with the time of its receipt.
type receivedNotice struct {
	Notice
	receivedAt clock.Instant
}
