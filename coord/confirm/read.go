package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Read requests a strongly consistent read of a row. The result goes to
// ReadResult.
type Read struct {
	// Key names the row.
	Key row.Key
}

func (Read) isStep() {}
