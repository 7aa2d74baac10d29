package lease

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// WaitOut keeps a new holder from giving orders to receivers that don't check
// fencing numbers until the last order of the former holder has come to rest.
type WaitOut struct {
	until clock.Instant
}

// NewWaitOut makes the wait of a new holder. LongestOrder bounds the time from
// the check of the lease before an order to the end of its effect.
func NewWaitOut(acquired Acquisition, longestOrder time.Duration) WaitOut {
	if acquired.First {
		return WaitOut{until: acquired.At}
	}
	return WaitOut{until: acquired.At.Add(longestOrder)}
}

// IsOver reports whether orders may be given.
func (w WaitOut) IsOver(now clock.Instant) bool {
	return !now.Before(w.until)
}

// Until returns the instant from which orders may be given.
func (w WaitOut) Until() clock.Instant {
	return w.until
}
