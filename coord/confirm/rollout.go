package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Rollout is the wait until a confirmed version is in force in every live
// process.
type Rollout struct {
	// Version is the version that was confirmed.
	Version uint64
	// Deadline is when the wait ends at the latest.
	Deadline clock.Instant
}

// Status returns the progress of the rollout.
func (r Rollout) Status(t *Tracker, now clock.Instant) RolloutStatus {
	missing := t.Behind(r.Version)
	return RolloutStatus{
		InForce: len(missing) == 0,
		Done:    len(missing) == 0 || !now.Before(r.Deadline),
		Missing: missing,
	}
}
