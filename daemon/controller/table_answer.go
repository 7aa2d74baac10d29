package controller

import "github.com/sycamorecourse/sycamorecourse/coord/row"

// tableAnswer is what the table service answered, and the step of the job that
// goes on with it.
type tableAnswer struct {
	rows []row.Row
	err  error
	next func(*tableAnswer)
}

// row returns the only row.
func (a *tableAnswer) row() row.Row {
	if len(a.rows) == 0 {
		return row.Row{}
	}
	return a.rows[0]
}
