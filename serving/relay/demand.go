package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 4 * time.Second

// demand is a moving average of an amount per second.
type demand struct {
	rate float64
	at   clock.Instant
}

// add adds the amount of one request.
func (d *demand) add(amount float64, now clock.Instant) {
	d.decay(now)
	d.rate += amount / demandWindow.Seconds()
}

func (d *demand) decay(now clock.Instant) {
	passed := now.Sub(d.at)
	d.at = now
	d.rate *= max(1-float64(passed)/float64(demandWindow), 0)
}

// Demand returns the recent demand per second of each customer with a limit, in
// the unit of the limit. It includes throttled requests. Demand below 1 is left
// out.
func (c *Core) Demand(now clock.Instant) map[string]float64 {
	out := make(map[string]float64, len(c.demands))
	for name, d := range c.demands {
		d.decay(now)
		if d.rate < 1 {
			delete(c.demands, name)
			continue
		}
		out[name] = d.rate
	}
	return out
}
