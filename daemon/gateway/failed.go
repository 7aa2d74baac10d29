package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// failed is the end of an attempt without a whole answer.
type failed struct {
	ref     dispatch.StreamRef
	rest    engine.Tokens
	failure dispatch.Failure
}

func (failed) isDispatchMessage() {}
