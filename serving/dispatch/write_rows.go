package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// WriteRows runs a transaction at the table service. The owner reports the
// result to Core.RowsWritten.
type WriteRows struct {
	// ID identifies the request.
	ID request.ID
	// Serial identifies the call, so that a stale result can be ignored.
	Serial uint64
	// Transaction is to be tried once, without retries.
	Transaction row.Transaction
}

func (WriteRows) isAction() {}
