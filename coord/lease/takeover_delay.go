package lease

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// TakeoverDelay delays the first order of a new holder to receivers that don't
// check fencing numbers, until the last order of the former holder can have no
// further effect.
type TakeoverDelay struct {
	until clock.Instant
}

// NewTakeoverDelay makes the delay of a new holder; there is none for the first
// holder of a lease. maxOrderTime bounds the time from the check of the lease
// before an order until the order can have no further effect.
func NewTakeoverDelay(acquired Acquisition, maxOrderTime time.Duration) TakeoverDelay {
	if acquired.First {
		return TakeoverDelay{until: acquired.At}
	}
	return TakeoverDelay{until: acquired.At.Add(maxOrderTime)}
}

// IsOver reports whether the delay has passed, so orders may be sent.
func (d TakeoverDelay) IsOver(now clock.Instant) bool {
	return !now.Before(d.until)
}

// Until returns the instant from which orders may be sent.
func (d TakeoverDelay) Until() clock.Instant {
	return d.until
}
