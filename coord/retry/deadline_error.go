package retry

import "time"

// DeadlineError reports that another attempt could not end before the deadline.
type DeadlineError struct {
	// ExceededBy is the time by which the attempt would exceed the deadline.
	ExceededBy time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return "another attempt would end " + e.ExceededBy.String() + " after the deadline"
}
