package attempt

import "strconv"

// RetriesExhaustedError reports that the outcome of a write is still unknown after
// the maximum number of tries.
type RetriesExhaustedError struct {
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *RetriesExhaustedError) Error() string {
	return "outcome still unknown after " + strconv.Itoa(e.Tries) + " tries"
}
