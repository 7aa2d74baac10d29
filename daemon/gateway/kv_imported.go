package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// kvImported is an upstream's handle of an imported KV cache.
type kvImported struct {
	ref    dispatch.StreamRef
	handle string
}

func (kvImported) isDispatchMessage() {}
