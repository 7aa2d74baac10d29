package confirm

import "strconv"

// VersionMismatchError reports a head whose content names another version than
// its row has.
type VersionMismatchError struct {
	// Stored is the version in the content.
	Stored uint64
}

// Error implements error.
func (e *VersionMismatchError) Error() string {
	return "content names version " + strconv.FormatUint(e.Stored, 10)
}
