package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// Loads returns the load that this gateway puts on each service. Idle services
// are left out.
func (c *Core) Loads(now clock.Instant) map[string]scale.Load {
	out := make(map[string]scale.Load, len(c.pools))
	for name, p := range c.pools {
		p.prefillDemand.decay(now)
		load := scale.Load{PromptTokenRate: p.prefillDemand.rate}
		for _, m := range p.list {
			load.Open += float64(m.open)
		}
		if load.Open > 0 || load.PromptTokenRate > 1 {
			out[name] = load
		}
	}
	return out
}

// ReadRates returns the observed rate, in prompt tokens per second, at which one
// idle engine of each service reads.
func (c *Core) ReadRates() map[string]float64 {
	out := make(map[string]float64, len(c.pools))
	for name, p := range c.pools {
		out[name] = p.speed.tokensPerSecond()
	}
	return out
}
