package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// rowsWritten is the result of a transaction on the table.
type rowsWritten struct {
	id     request.ID
	serial uint64
	err    error
}

func (rowsWritten) isDispatchMessage() {}
