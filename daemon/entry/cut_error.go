package entry

import (
	"strconv"
	"time"
)

// CutError reports that a process ended while requests were open.
type CutError struct {
	// Open is the number of requests, -1 if unknown.
	Open int
	// Forced is true after a second signal, false at the limit.
	Forced bool
	// After is the time since the stop was wanted.
	After time.Duration
}

// Error implements error.
func (e *CutError) Error() string {
	how := "at the limit"
	if e.Forced {
		how = "by a second signal"
	}
	return "ended " + how + " with " + strconv.Itoa(e.Open) + " requests open, after " + e.After.String()
}
