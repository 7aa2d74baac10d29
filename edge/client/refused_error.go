package client

import "time"

// RefusedError reports that the system did not answer a request.
type RefusedError struct {
	// Status is the HTTP status; 0 if there was no complete response.
	Status int
	// Outcome is "not_run" if the request did not run, and "unknown" if it may have.
	Outcome string
	// Reason is the reason, such as "overloaded".
	Reason string
	// Detail explains the reason.
	Detail string
	// RetryAfter is the delay before a retry; 0 means not to retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Outcome + ": " + e.Reason + ": " + e.Detail
}
