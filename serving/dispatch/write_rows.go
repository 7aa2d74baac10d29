package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// WriteRows asks for a transaction; its result goes to Core.Written.
type WriteRows struct {
	// ID names the request.
	ID request.ID
	// Serial names the call, so that a late result is known.
	Serial uint64
	// Transaction is to be tried once.
	Transaction row.Transaction
}

func (WriteRows) isAction() {}
