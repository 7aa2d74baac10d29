package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// resume asks for the answer of a request from a piece on.
type resume struct {
	handle dispatch.CallerHandle
	id     request.ID
	from   int
}

func (resume) isDispatchMessage() {}
