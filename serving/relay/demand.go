package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 4 * time.Second

// demand is a moving average of an amount per second.
type demand struct {
	window time.Duration
	rate   float64
	at     clock.Instant
}

// add adds the amount of one request.
func (d *demand) add(amount float64, now clock.Instant) {
	d.decay(now)
	d.rate += amount / d.window.Seconds()
}

func (d *demand) decay(now clock.Instant) {
	passed := now.Sub(d.at)
	d.at = now
	d.rate *= max(1-float64(passed)/float64(d.window), 0)
}
