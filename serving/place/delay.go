package place

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// delay is the backoff of one option.
type delay struct {
	wait  time.Duration
	until clock.Instant
}
