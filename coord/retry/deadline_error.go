package retry

import "time"

// DeadlineError reports that another attempt could not end in time.
type DeadlineError struct {
	// Missing is the time by which the deadline would be missed.
	Missing time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return "another attempt would end " + e.Missing.String() + " after the deadline"
}
