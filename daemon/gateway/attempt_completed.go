package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// attemptCompleted reports that an attempt ended with a complete answer. rest
// holds the tokens that dispatch does not have yet.
type attemptCompleted struct {
	ref   dispatch.StreamRef
	rest  engine.Tokens
	usage dispatch.Usage
}

func (attemptCompleted) isDispatchMessage() {}
