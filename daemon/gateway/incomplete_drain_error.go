package gateway

import "time"

// IncompleteDrainError reports that a graceful shutdown ended while requests
// were still open.
type IncompleteDrainError struct {
	// Forced is true if a second signal ended the shutdown, false if it timed
	// out.
	Forced bool
	// After is the time since the shutdown began.
	After time.Duration
}

// Error implements error.
func (e *IncompleteDrainError) Error() string {
	if e.Forced {
		return "a second signal ended the shutdown after " + e.After.String()
	}
	return "requests were still open when the shutdown timed out after " + e.After.String()
}
