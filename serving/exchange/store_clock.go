package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// StoreClock estimates the store's clock from what was read of it and what other
// gateways estimate. One thread owns it.
type StoreClock struct {
	offset time.Duration // the store's clock minus the monotonic clock
	known  bool
}

// IsKnown reports whether there is an estimate.
func (c *StoreClock) IsKnown() bool {
	return c.known
}

// Now returns the store's clock at an instant; 0 if it is not known.
func (c *StoreClock) Now(now clock.Instant) time.Duration {
	if !c.known {
		return 0
	}
	return c.offset + time.Duration(now)
}

// Read sets the store's clock as just read from the store.
func (c *StoreClock) Read(storeClock time.Duration, now clock.Instant) {
	c.offset, c.known = storeClock-time.Duration(now), true
}

// Heard takes over another gateway's estimate if it is later, as it is after this
// process was suspended. What has passed on the way makes each estimate too early,
// so gateways that always took them over from each other would fall behind more and
// more.
func (c *StoreClock) Heard(storeClock time.Duration, now clock.Instant) {
	if storeClock == 0 || (c.known && storeClock <= c.Now(now)) {
		return
	}
	c.Read(storeClock, now)
}
