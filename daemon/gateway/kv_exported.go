package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// kvExported is the KV cache of an attempt that was stopped.
type kvExported struct {
	ref   dispatch.StreamRef
	cache []byte
}

func (kvExported) isDispatchMessage() {}
