package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// tokensReceived are further tokens of an answer.
type tokensReceived struct {
	ref    dispatch.StreamRef
	tokens engine.Tokens
}

func (tokensReceived) isDispatchMessage() {}
