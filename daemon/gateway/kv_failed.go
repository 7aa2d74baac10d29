package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// kvFailed is an export or import that failed.
type kvFailed struct {
	ref      dispatch.StreamRef
	isImport bool
	failure  dispatch.Failure
}

func (kvFailed) isDispatchMessage() {}
