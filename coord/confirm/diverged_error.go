package confirm

import "fmt"

// DivergedError reports two configurations of the same version. It means that
// one of them was never confirmed.
type DivergedError struct {
	// Version is the version.
	Version uint64
	// Held is the digest of the configuration held.
	Held uint64
	// Offered is the digest of the configuration offered.
	Offered uint64
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("version %d has digest %016x here and %016x there", e.Version, e.Held, e.Offered)
}
