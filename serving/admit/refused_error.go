package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// RefusedError reports that a request was not admitted. It has not been run.
type RefusedError struct {
	// Reason is request.Overloaded, request.LimitReached or
	// request.DeadlineUnmet.
	Reason request.Reason
	// RetryAfter is the time after which the caller may retry; 0 if the deadline
	// is over.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "refused: " + string(e.Reason) + ", retry after " + e.RetryAfter.String()
}
