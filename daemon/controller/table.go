package controller

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Table is the part of the table service that the duties use. All calls are
// asynchronous: done runs later on a thread of the client and must not block.
type Table interface {
	// Read reads one row.
	Read(key row.Key, done func(row.Row, error))
	// List reads the rows of a partition whose sort key begins with prefix, in
	// order.
	List(partition, prefix string, done func([]row.Row, error))
	// Write applies a transaction.
	Write(t row.Transaction, done func(error))
}
