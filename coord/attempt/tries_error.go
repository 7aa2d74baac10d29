package attempt

import "strconv"

// TriesError reports that the outcome of a write is still unknown after the
// maximum number of tries.
type TriesError struct {
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *TriesError) Error() string {
	return "outcome still unknown after " + strconv.Itoa(e.Tries) + " tries"
}
