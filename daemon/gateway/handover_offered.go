package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// handoverOffered is a request that another gateway offers to hand over.
type handoverOffered struct {
	from  wire.Hello
	offer *wire.HandOver
}

func (handoverOffered) isDispatchMessage() {}
