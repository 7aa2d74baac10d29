package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// attachCaller gives a caller the answer of a known request from a piece on.
type attachCaller struct {
	handle dispatch.CallerHandle
	id     request.ID
	from   int
}

func (attachCaller) isDeliveryMessage() {}
