package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// demandTime is the time over which a customer's demand is averaged.
const demandTime = 4 * time.Second

// demand is what a customer asks for a second, averaged over a while.
type demand struct {
	rate float64
	at   clock.Instant
}

// add takes what a request asks for.
func (d *demand) add(amount float64, now clock.Instant) {
	d.decay(now)
	d.rate += amount / demandTime.Seconds()
}

func (d *demand) decay(now clock.Instant) {
	passed := now.Sub(d.at)
	d.at = now
	d.rate *= max(1-float64(passed)/float64(demandTime), 0)
}

// Demand returns what each customer with a limit has asked for lately, a second.
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
