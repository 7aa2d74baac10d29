package lease

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Read asks for a row as it is now, not as a replica has it; the result goes to
// ReadResult.
type Read struct {
	// Key names the row.
	Key row.Key
}

func (Read) isStep() {}
