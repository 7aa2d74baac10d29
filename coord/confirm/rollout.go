package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Rollout waits until a confirmed version is in force in every live process.
type Rollout struct {
	// Version is the version that was confirmed.
	Version uint64
	// Until is when the wait ends.
	Until clock.Instant
}

// Check says how far the version has come.
func (r Rollout) Check(t *Tracker, now clock.Instant) RolloutStatus {
	missing := t.Missing(r.Version)
	return RolloutStatus{
		InForce: len(missing) == 0,
		Over:    len(missing) == 0 || !now.Before(r.Until),
		Missing: missing,
	}
}
