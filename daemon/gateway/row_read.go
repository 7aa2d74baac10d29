package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// rowRead is the result of a read of the table.
type rowRead struct {
	id     request.ID
	serial uint64
	found  row.Row
	err    error
}

func (rowRead) isDispatchMessage() {}
