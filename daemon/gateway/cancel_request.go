package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// cancelRequest cancels a request for its caller.
type cancelRequest struct {
	handle dispatch.CallerHandle
	id     request.ID
}

func (cancelRequest) isDispatchMessage() {}
