package confirm

import "strconv"

// VersionMismatchError reports a head row whose content names a version other
// than the version of the row.
type VersionMismatchError struct {
	// Stored is the version in the content.
	Stored uint64
}

// Error implements error.
func (e *VersionMismatchError) Error() string {
	return "content names version " + strconv.FormatUint(e.Stored, 10)
}
