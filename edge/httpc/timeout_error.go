package httpc

import "time"

// TimeoutError is the cause when Config.ConnectTimeout or Call.Timeout passed.
type TimeoutError struct {
	// Limit is the timeout.
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return "timeout after " + e.Limit.String()
}
