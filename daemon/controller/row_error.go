package controller

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// RowError reports a row that can't be decoded.
type RowError struct {
	// Key is the key of the row.
	Key row.Key
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RowError) Error() string {
	return "row " + e.Key.String() + " can't be understood: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error {
	return e.Err
}
