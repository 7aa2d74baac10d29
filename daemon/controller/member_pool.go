package controller

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// memberPool is a pool with the document that holds it.
type memberPool struct {
	member   string
	document *intent.Document
	pool     *intent.Pool
}

// poolsOf lists the pools of a configuration by the keys of their ledgers.
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
	// minDrain is the shortest time without new work before an instance is
	// ended by plan. Gateways move requests off an engine within it.
	minDrain = 60 * time.Second
	// drainMargin is the time for the news to reach all gateways.
	drainMargin = 10 * time.Second
	// maxDrain is the drain of a pool of which nothing is known any more: no
	// call takes longer.
	maxDrain = 10*time.Minute + drainMargin
)

// drain returns how long an instance of the pool takes no new work before it is
// ended by plan, so that no call to a plain service is cut off.
func (p *memberPool) drain() time.Duration {
	drain := minDrain
	for _, s := range p.document.Services {
		if s.Pool == p.pool.Name {
			drain = max(drain, time.Duration(s.TimeoutMillis)*time.Millisecond+drainMargin)
		}
	}
	return drain
}
