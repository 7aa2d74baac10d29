package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// Loads returns what this gateway asks of each service with model engines.
func (c *Core) Loads(now clock.Instant) map[string]scale.Load {
	out := make(map[string]scale.Load, len(c.pools))
	for name, p := range c.pools {
		p.read.decay(now)
		load := scale.Load{PromptTokenRate: p.read.rate}
		for _, m := range p.order {
			load.Open += float64(m.open)
		}
		if load.Open > 0 || load.PromptTokenRate > 1 {
			out[name] = load
		}
	}
	return out
}
