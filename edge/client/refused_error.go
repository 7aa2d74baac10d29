package client

import "time"

// RefusedError reports that the system did not answer a request. With the
// outcome not_run nothing has run; with unknown it may have.
type RefusedError struct {
	// Status is the HTTP status; 0 when no answer came at all.
	Status int
	// Outcome is "not_run" or "unknown".
	Outcome string
	// Reason is the reason, such as "overloaded".
	Reason string
	// Detail says more.
	Detail string
	// RetryAfter is when to try again; 0: do not.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Outcome + ": " + e.Reason + ": " + e.Detail
}
