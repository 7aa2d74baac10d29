package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// handedOver is another gateway's answer to a request that was offered to it.
type handedOver struct {
	from   wire.Hello
	answer *wire.HandOverAnswer
}

func (handedOver) isDispatchMessage() {}
