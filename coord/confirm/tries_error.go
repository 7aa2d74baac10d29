package confirm

import "strconv"

// TriesError reports that the outcome is still unknown after the maximum number
// of writes or reads.
type TriesError struct {
	// Tries is the number of tries.
	Tries int
}

// Error implements error.
func (e *TriesError) Error() string {
	return "outcome still unknown after " + strconv.Itoa(e.Tries) + " tries"
}
