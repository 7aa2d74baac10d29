package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// resumeAnswer asks for the answer of a request from a piece on.
type resumeAnswer struct {
	handle dispatch.CallerHandle
	id     request.ID
	from   int
}

func (resumeAnswer) isDispatchMessage() {}
