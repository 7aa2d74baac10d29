package faults

import "time"

// StandstillError reports that nobody did the duties for too long.
type StandstillError struct {
	// Since tells after what, and Patience for how long.
	Since    string
	Patience time.Duration
}

// Error implements error.
func (e *StandstillError) Error() string {
	return "no usage report in " + e.Patience.String() + " after " + e.Since
}
