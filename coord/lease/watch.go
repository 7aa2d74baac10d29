package lease

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Watch determines, by the local monotonic clock alone, whether the lease of
// another process has expired. It works for any value that the holder changes at
// each renewal.
type Watch struct {
	started bool
	version uint64
	since   clock.Instant
}

// Observe records the version that was read. A changed version restarts the watch.
func (w *Watch) Observe(version uint64, now clock.Instant) {
	if !w.started || version != w.version {
		w.started, w.version, w.since = true, version, now
	}
}

// HasExpired reports whether the version has not changed for the TTL.
func (w *Watch) HasExpired(ttl time.Duration, now clock.Instant) bool {
	return w.started && now.Sub(w.since) >= ttl
}

// ExpiresAt returns the instant at which the lease expires unless the version
// changes.
func (w *Watch) ExpiresAt(ttl time.Duration) clock.Instant {
	return w.since.Add(ttl)
}
