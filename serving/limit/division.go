package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Division is what a gateway knows of those with which it shares the limits.
type Division struct {
	// Instance names this gateway, and IsReady is true if it takes requests.
	Instance string
	IsReady  bool
	// Share is the part of each limit, from 0 to 1, that this gateway uses while it does
	// not know what the others use.
	Share float64
	// Peers are the other gateways, those that have fallen silent included.
	Peers []Peer
	// CurrentUntil is the instant from which what the peers have published is too old to
	// go by, and CurrentFor the time for which it is current after it was read.
	CurrentUntil clock.Instant
	CurrentFor   time.Duration
	// Spread is the time in which what a gateway publishes reaches all others.
	Spread time.Duration
}

// announcementTime returns the time for which some gateway may go by an announcement
// after a newer one.
func (d Division) announcementTime() time.Duration {
	return max(d.CurrentFor+d.Spread, minAnnouncementTime)
}
