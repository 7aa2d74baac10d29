package quarantine

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// never is the instant of what has not happened. It is before every other one, also
// before those at which this process did not run yet.
const never = clock.Instant(math.MinInt64 / 4)

// instant returns the instant of a time in Evidence.
func instant(at time.Duration) clock.Instant {
	if at == 0 {
		return never
	}
	return clock.Instant(at)
}

// duration returns the time in Evidence of an instant.
func duration(at clock.Instant) time.Duration {
	if at == never {
		return 0
	}
	return time.Duration(at)
}
