package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// tokens is a part of an answer.
type tokens struct {
	ref    dispatch.StreamRef
	tokens engine.Tokens
}

func (tokens) isDispatchMessage() {}
