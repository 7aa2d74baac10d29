package controller

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// Table is the part of the table service that the duties use. Each call returns
// at once; done is called later on a thread that must not be held up.
type Table interface {
	// Read reads one row.
	Read(key row.Key, done func(row.Row, error))
	// List reads the rows of a partition whose sort key begins with prefix, in
	// order.
	List(partition, prefix string, done func([]row.Row, error))
	// Write makes a transaction.
	Write(t row.Transaction, done func(error))
}
