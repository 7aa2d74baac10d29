package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// serviceReplied is the reply of a service that is not an engine.
type serviceReplied struct {
	ref   dispatch.StreamRef
	reply *request.ServiceReply
}

func (serviceReplied) isDispatchMessage() {}
