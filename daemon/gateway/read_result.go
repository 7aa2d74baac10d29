package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// readResult is the result of a read.
type readResult struct {
	id     request.ID
	serial uint64
	found  row.Row
	err    error
}

func (readResult) isDispatchMessage() {}
