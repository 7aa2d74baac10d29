package lease

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Watch judges by the local monotonic clock alone whether the lease of another
// process has expired. It serves any value that its holder changes at each
// renewal.
type Watch struct {
	version uint64
	since   clock.Instant
}

// Observe notes the version as it was read. It starts anew when the version has
// changed.
func (w *Watch) Observe(version uint64, now clock.Instant) {
	if version != w.version {
		w.version = version
		w.since = now
	}
}

// HasExpired reports whether the version has stayed the same for the TTL.
func (w *Watch) HasExpired(ttl time.Duration, now clock.Instant) bool {
	return w.version != 0 && now.Sub(w.since) >= ttl
}

// ExpiresAt returns the instant at which the present version will have expired.
func (w *Watch) ExpiresAt(ttl time.Duration) clock.Instant {
	return w.since.Add(ttl)
}
