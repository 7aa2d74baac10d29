package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// completed is the end of a whole answer.
type completed struct {
	ref   dispatch.StreamRef
	rest  engine.Tokens
	usage dispatch.Usage
}

func (completed) isDispatchMessage() {}
