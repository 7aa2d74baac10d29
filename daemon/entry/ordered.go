package entry

import "github.com/sycamorecourse/sycamorecourse/serving/scale"

// ordered is the result of an order of upstreams.
type ordered struct {
	order scale.Order
	fence uint64
	err   error
}

func (ordered) isClusterMessage() {}
