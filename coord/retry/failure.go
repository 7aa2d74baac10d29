package retry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Failure is a failed attempt of a request.
type Failure struct {
	// FailureDomain is where the first attempt of the request was sent.
	FailureDomain string
	// Attempts is the number of attempts so far, this one included.
	Attempts int
	// Safe reports that a repetition can't run the request twice.
	Safe bool
	// RetryAfter is the least wait that the upstream asked for.
	RetryAfter time.Duration
	// Deadline is when the request must have ended.
	Deadline clock.Instant
	// Need is the least time that another attempt takes.
	Need time.Duration
}
