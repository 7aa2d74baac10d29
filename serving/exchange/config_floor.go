package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// hearTimeout is how long a process that starts waits for the first records of the
	// others.
	hearTimeout = 2 * time.Second
	// rewriteTimeout is how long it waits for the configuration that they use to be written
	// again.
	rewriteTimeout = 10 * time.Second
)

// ConfigFloor decides whether a process that starts may use the configuration that it has
// read. A store that was restored may have an older one than the others use. One thread
// owns it.
type ConfigFloor struct {
	startedAt clock.Instant
	hasHeard  bool
	version   uint64
}

// NewConfigFloor returns the floor of a process that starts at an instant.
func NewConfigFloor(now clock.Instant) *ConfigFloor {
	return &ConfigFloor{startedAt: now}
}

// Heard takes over the version of the newest configuration that the others use; 0 if none
// has told.
func (f *ConfigFloor) Heard(version uint64) {
	f.hasHeard = true
	f.version = max(f.version, version)
}

// Allows reports whether a configuration may be used that was read in a timeline of the
// store.
func (f *ConfigFloor) Allows(version, timeline uint64, now clock.Instant) bool {
	if timeline <= firstTimeline {
		return true
	}
	if !f.hasHeard {
		return now.Sub(f.startedAt) >= hearTimeout
	}
	return version >= f.version || now.Sub(f.startedAt) >= rewriteTimeout
}
