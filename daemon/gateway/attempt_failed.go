package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// attemptFailed reports that an attempt ended without a complete answer. rest
// holds the tokens that dispatch does not have yet.
type attemptFailed struct {
	ref     dispatch.StreamRef
	rest    engine.Tokens
	failure dispatch.Failure
}

func (attemptFailed) isDispatchMessage() {}
