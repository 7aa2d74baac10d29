package lease

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Write requests a transaction. The result goes to Written.
type Write struct {
	// Transaction is to be sent once, without retries.
	Transaction row.Transaction
}

func (Write) isStep() {}
