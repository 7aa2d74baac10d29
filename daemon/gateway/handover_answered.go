package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// handoverAnswered is the reply of another gateway to a request that was
// offered to it.
type handoverAnswered struct {
	from   wire.Hello
	answer *wire.HandOverAnswer
}

func (handoverAnswered) isDispatchMessage() {}
