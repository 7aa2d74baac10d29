package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Peer is what is known of the use of limits by another gateway.
type Peer struct {
	Holder
	// IsReady is true if the gateway is live and takes requests.
	IsReady bool
	// Used and Reserves are what it last published, by customer.
	Used     map[string]Use
	Reserves map[string]Reserve
	// CountedAt is when it counted that.
	CountedAt clock.Instant
	// Share is the part of each limit that it uses once it knows no longer what the
	// others use.
	Share float64
	// Ended is true if it uses nothing beyond Used, since its process has ended in an orderly
	// way.
	Ended bool
}

// silence returns what the peer may use of a limit once its news, which is current for the
// given time, is not current any more. What it has used as a holder before leaves it less.
func (p Peer) silence(t terms, asHolder float64, currentFor time.Duration) silence {
	return silence{
		from:     p.CountedAt.Add(currentFor - clockError),
		amount:   t.standbyAtOnce(p.Share),
		rate:     p.Share * t.rate,
		most:     p.Share * max(t.ceiling-asHolder, 0),
		gateways: 1,
	}
}

// age returns the time since the peer counted its use.
func (p Peer) age(now clock.Instant) time.Duration {
	return max(now.Sub(p.CountedAt), 0) + clockError
}
