package controller

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// tableResult is the result of a call to the table service, with the function
// that handles it on the store duty's thread.
type tableResult struct {
	rows   []row.Row
	err    error
	resume func(*tableResult)
}

// row returns the only row of the result, or an empty one.
func (a *tableResult) row() row.Row {
	if len(a.rows) == 0 {
		return row.Row{}
	}
	return a.rows[0]
}
