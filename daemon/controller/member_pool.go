package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// memberPool is a pool with the member and the document that it belongs to.
type memberPool struct {
	member   string
	document *intent.Document
	pool     *intent.Pool
}

// poolsOf returns the pools of a configuration by the keys of their ledgers.
func poolsOf(c *intent.Configuration) map[row.Key]memberPool {
	pools := make(map[row.Key]memberPool)
	for i := range c.Documents {
		d := &c.Documents[i]
		for j := range d.Pools {
			pools[ledgerKey(d.Member, d.Pools[j].Name)] = memberPool{member: d.Member, document: d, pool: &d.Pools[j]}
		}
	}
	return pools
}

const (
	// minDrainTime is the shortest time that an instance drains before a planned
	// end. Gateways move requests off an engine within it.
	minDrainTime = 60 * time.Second
	// drainMargin is the time for an update to reach all gateways.
	drainMargin = 10 * time.Second
	// maxDrainTime is the drain time of a pool whose services are no longer known:
	// no call takes longer.
	maxDrainTime = 10*time.Minute + drainMargin
)

// drainTime returns how long an instance of the pool drains before a planned
// end, so that no call to a plain service is cut off.
func (p *memberPool) drainTime() time.Duration {
	drain := minDrainTime
	for _, s := range p.document.Services {
		if s.Pool == p.pool.Name {
			drain = max(drain, time.Duration(s.TimeoutMillis)*time.Millisecond+drainMargin)
		}
	}
	return drain
}
