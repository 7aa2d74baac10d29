package lease

import "strconv"

// RetriesExhaustedError reports that the last permitted attempt to release a
// lease had no known outcome.
type RetriesExhaustedError struct {
	// Attempts is the number of attempts.
	Attempts int
}

// Error implements error.
func (e *RetriesExhaustedError) Error() string {
	return "lease release: outcome unknown after " + strconv.Itoa(e.Attempts) + " attempts"
}
