package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// acceptCaller starts the answer of a request and attaches its first caller to
// it.
type acceptCaller struct {
	handle dispatch.CallerHandle
	id     request.ID
}

func (acceptCaller) isDeliveryMessage() {}
