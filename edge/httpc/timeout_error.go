package httpc

import "time"

// TimeoutError is the cause when a call took longer than it may.
type TimeoutError struct {
	// Limit is what the call was given.
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "timeout after " + e.Limit.String()
}
