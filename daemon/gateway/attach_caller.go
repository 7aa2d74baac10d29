package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// attachCaller attaches a caller to the answer of a known request and sends it
// the pieces from an index on.
type attachCaller struct {
	handle dispatch.CallerHandle
	id     request.ID
	from   int
}

func (attachCaller) isDeliveryMessage() {}
