package confirm

import "fmt"

// DivergedError reports two different configurations of the same version, of
// which at least one was never confirmed.
type DivergedError struct {
	// Version is the version.
	Version uint64
	// HeldDigest is the digest of the configuration held by the Follower.
	HeldDigest uint64
	// OfferedDigest is the digest of the configuration offered to it.
	OfferedDigest uint64
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("version %d has digest %016x here and %016x there", e.Version, e.HeldDigest, e.OfferedDigest)
}
