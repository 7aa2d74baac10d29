package place

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// delay is the backoff of one option.
type delay struct {
	// wait is the length of the last delay, and until its end.
	wait  time.Duration
	until clock.Instant
}
