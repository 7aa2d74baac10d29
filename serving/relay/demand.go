package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 4 * time.Second
	// recentDemandWindow is the time over which the recent demand of a customer is
	// averaged, which shows a rise soon.
	recentDemandWindow = time.Second
)

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

// current returns the average at an instant.
func (d *demand) current(now clock.Instant) float64 {
	d.decay(now)
	return d.rate
}

func (d *demand) decay(now clock.Instant) {
	passed := now.Sub(d.at)
	d.at = now
	d.rate *= max(1-float64(passed)/float64(d.window), 0)
}

// Demand returns the demand per second of each customer with a limit, in the unit
// of the limit. It includes throttled requests. Demand below 1 is left out.
func (c *Core) Demand(now clock.Instant) map[string]float64 {
	return averages(c.demands, now)
}

// RecentDemand returns the same over a shorter time.
func (c *Core) RecentDemand(now clock.Instant) map[string]float64 {
	return averages(c.recentDemands, now)
}

// averages returns the averages that are at least 1 and removes the others.
func averages(demands map[string]*demand, now clock.Instant) map[string]float64 {
	out := make(map[string]float64, len(demands))
	for name, d := range demands {
		rate := d.current(now)
		if rate < 1 {
			delete(demands, name)
			continue
		}
		out[name] = rate
	}
	return out
}

// recordDemand counts a request, admitted or not, in the demand of its customer.
func (c *Core) recordDemand(customer string, amount float64, now clock.Instant) {
	addDemand(c.demands, customer, amount, demandWindow, now)
	addDemand(c.recentDemands, customer, amount, recentDemandWindow, now)
}

func addDemand(demands map[string]*demand, customer string, amount float64, window time.Duration, now clock.Instant) {
	d := demands[customer]
	if d == nil {
		d = &demand{window: window, at: now}
		demands[customer] = d
	}
	d.add(amount, now)
}
