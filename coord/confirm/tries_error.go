package confirm

import "strconv"

// TriesError reports that a write was tried too often without a known outcome.
type TriesError struct {
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *TriesError) Error() string {
	return "outcome still unknown after " + strconv.Itoa(e.Tries) + " tries"
}
