package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// acceptCaller begins the answer of a request and attaches its caller.
type acceptCaller struct {
	handle dispatch.CallerHandle
	id     request.ID
}

func (acceptCaller) isDeliveryMessage() {}
