package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// silenceStep is the time to which the beginnings of silences are rounded, so that there
// are few of them.
const silenceStep = 200 * time.Millisecond

// silence is what peers may use whose news is not current any more from an instant on:
// an amount at once, and more at a rate.
type silence struct {
	from   clock.Instant
	amount float64
	rate   float64
	// most bounds it.
	most float64
	// gateways is the number of the peers.
	gateways int
}

// after returns what they may have used up to an instant.
func (s silence) after(now clock.Instant, window time.Duration) float64 {
	if now.Before(s.from) {
		return 0
	}
	return min(s.amount+s.rate*min(now.Sub(s.from), window).Seconds(), s.most)
}
