package pollers

import "time"

// TimeoutError is the cause when a poller did not read its probe in time.
type TimeoutError struct {
	// Limit is the time that it was given.
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "a poller has read nothing for " + e.Limit.String()
}
