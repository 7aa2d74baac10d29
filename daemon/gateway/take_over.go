package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// takeOver is a request that another gateway offers.
type takeOver struct {
	from  wire.Hello
	offer *wire.HandOver
}

func (takeOver) isDispatchMessage() {}
