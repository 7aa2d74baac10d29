package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// imported is an upstream's handle for KV cache.
type imported struct {
	ref    dispatch.StreamRef
	handle string
}

func (imported) isDispatchMessage() {}
