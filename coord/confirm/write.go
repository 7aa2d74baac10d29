package confirm

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Write requests a transaction. Its result goes to Written.
type Write struct {
	// Transaction is the transaction, to be tried once.
	Transaction row.Transaction
}

func (Write) isStep() {}
