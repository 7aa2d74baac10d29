package gateway

import "time"

// CutError reports that a gateway ended while requests were open.
type CutError struct {
	// Forced is true after a second signal, false at the limit of the drain.
	Forced bool
	// After is the time since the stop was wanted.
	After time.Duration
}

// Error implements error.
func (e *CutError) Error() string {
	if e.Forced {
		return "stopped by a second signal after " + e.After.String()
	}
	return "requests were open at the limit of the drain, after " + e.After.String()
}
