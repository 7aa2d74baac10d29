package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// cancel gives a request up for its caller.
type cancel struct {
	handle dispatch.CallerHandle
	id     request.ID
}

func (cancel) isDispatchMessage() {}
