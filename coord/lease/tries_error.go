package lease

import "strconv"

// TriesError reports that the release was tried too often without a known
// outcome.
type TriesError struct {
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *TriesError) Error() string {
	return "outcome still unknown after " + strconv.Itoa(e.Tries) + " tries"
}
