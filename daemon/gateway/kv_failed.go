package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// kvFailed reports that an export or import of KV cache failed.
type kvFailed struct {
	ref      dispatch.StreamRef
	isImport bool
	failure  dispatch.Failure
}

func (kvFailed) isDispatchMessage() {}
