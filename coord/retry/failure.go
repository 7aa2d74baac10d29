package retry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Failure is a failed attempt of a request.
type Failure struct {
	// FailureDomain is the failure domain of the first attempt of the request.
	FailureDomain string
	// Attempts is the number of attempts so far, this one included.
	Attempts int
	// SafeToRepeat reports that the request is idempotent or was not run.
	SafeToRepeat bool
	// RetryAfter is the minimum delay that the upstream requested.
	RetryAfter time.Duration
	// Deadline is when the request must have ended.
	Deadline clock.Instant
	// MinDuration is the minimum duration of another attempt.
	MinDuration time.Duration
}
