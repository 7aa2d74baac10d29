package gateway

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// table is the part of the table service in which attempts are recorded. Each
// callback is called once, on any thread.
type table interface {
	// Read reads the current value of a row.
	Read(key row.Key, done func(row.Row, error))
	// Write applies all changes of a transaction or none.
	Write(transaction row.Transaction, done func(error))
}
