package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// replied is the reply of a plain service.
type replied struct {
	ref   dispatch.StreamRef
	reply *request.ServiceReply
}

func (replied) isDispatchMessage() {}
