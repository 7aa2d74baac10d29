package entry

import "github.com/sycamorecourse/sycamorecourse/serving/scale"

// upstreamsOrdered is the cloud API's result for an order of upstreams.
type upstreamsOrdered struct {
	order scale.Order
	fence uint64
	err   error
}

func (upstreamsOrdered) isClusterMessage() {}
