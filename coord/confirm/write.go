package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Write asks for a transaction; its result goes to Written.
type Write struct {
	// Transaction is to be tried once.
	Transaction row.Transaction
}

func (Write) isStep() {}
