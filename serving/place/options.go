package place

import (
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Options returns the options that a pool allows and the cloud offers.
func Options(pool *intent.Pool, prices price.List) []Option {
	var options []Option
	for _, domain := range pool.FailureDomains {
		for _, class := range pool.MachineClasses {
			for _, reclaimable := range []bool{true, false} {
				if _, ok := prices.Find(domain, class, reclaimable); ok {
					options = append(options, Option{FailureDomain: domain, MachineClass: class, Reclaimable: reclaimable})
				}
			}
		}
	}
	return options
}
