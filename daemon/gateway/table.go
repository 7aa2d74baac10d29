package gateway

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// table is the part of the table service that attempts are recorded with. The
// callbacks are called once, on any thread.
type table interface {
	// Read gives a row as it is now.
	Read(key row.Key, done func(row.Row, error))
	// Write makes all changes of a transaction or none.
	Write(transaction row.Transaction, done func(error))
}
