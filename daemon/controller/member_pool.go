package controller

import (
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
