package spread

import "strconv"

// StaleEpochError reports a change of the fleet that was published under an
// old lease, after another process has taken the lease over.
type StaleEpochError struct {
	// Epoch is the fencing number of the rejected change.
	Epoch uint64
	// Newest is the highest fencing number seen.
	Newest uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return "fencing number " + strconv.FormatUint(e.Epoch, 10) + " is older than " + strconv.FormatUint(e.Newest, 10)
}
