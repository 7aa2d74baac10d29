package entry

import (
	"strconv"
	"time"
)

// DrainError reports that the process stopped before all requests had ended.
type DrainError struct {
	// Open is the number of open requests, or -1 if it is unknown.
	Open int
	// Forced is true if a second signal stopped the process, and false if the time
	// was up.
	Forced bool
	// After is the time since the first signal.
	After time.Duration
}

// Error implements error.
func (e *DrainError) Error() string {
	cause := "at the time limit"
	if e.Forced {
		cause = "by a second signal"
	}
	return "stopped " + cause + " with " + strconv.Itoa(e.Open) + " requests open, after " + e.After.String()
}
