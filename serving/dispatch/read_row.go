package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// ReadRow reads a row of the table service. The owner reports the result to
// Core.RowRead.
type ReadRow struct {
	// ID identifies the request.
	ID request.ID
	// Serial identifies the call, so that a stale result can be ignored.
	Serial uint64
	// Key identifies the row.
	Key row.Key
}

func (ReadRow) isAction() {}
