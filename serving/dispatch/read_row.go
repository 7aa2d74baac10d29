package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// ReadRow asks for a row; its result goes to Core.ReadResult.
type ReadRow struct {
	// ID names the request.
	ID request.ID
	// Serial names the call, so that a late result is known.
	Serial uint64
	// Key names the row.
	Key row.Key
}

func (ReadRow) isAction() {}
