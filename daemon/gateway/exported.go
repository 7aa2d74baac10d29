package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// exported is the KV cache of an attempt that was stopped.
type exported struct {
	ref   dispatch.StreamRef
	cache []byte
}

func (exported) isDispatchMessage() {}
