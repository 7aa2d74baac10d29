package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// clockRestart is how far the store's clock falls behind if it has been started anew.
const clockRestart = time.Minute

// SendClock tells when the store sent a response, which may have waited on the way: the
// link of a busy hub holds responses up for seconds. The response that took the least
// time shows how the clocks differ. One thread owns it.
type SendClock struct {
	// offset is the store's clock minus the monotonic clock, as the fastest response has
	// shown it.
	offset time.Duration
	known  bool
}

// SentAt returns when a response was sent that has just arrived, by the store's clock in
// it. That is too late by at most the time that the fastest response has taken.
func (c *SendClock) SentAt(storeClock time.Duration, now clock.Instant) clock.Instant {
	if storeClock == 0 {
		return now
	}
	offset := storeClock - time.Duration(now)
	if !c.known || offset > c.offset || offset < c.offset-clockRestart {
		c.offset, c.known = offset, true
	}
	return clock.Instant(storeClock - c.offset)
}
