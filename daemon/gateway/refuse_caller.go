package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// refuseCaller answers a caller with a refusal.
type refuseCaller struct {
	handle  dispatch.CallerHandle
	refusal *request.Refusal
}

func (refuseCaller) isDeliveryMessage() {}
