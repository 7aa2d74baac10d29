package pollers

import "time"

// TimeoutError is the cause when a poller did not read its probe in time.
type TimeoutError struct {
	// Limit is the timeout.
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "a poller did not read its probe within " + e.Limit.String()
}
