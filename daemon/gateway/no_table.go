package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// noTable replaces the table service if none is configured. It is always
// unavailable, so that non-idempotent requests are refused as not run.
type noTable struct{}

// Read implements table.
func (noTable) Read(_ row.Key, done func(row.Row, error)) {
	done(row.Row{}, &row.UnavailableError{Err: &NoTableError{}})
}

// Write implements table.
func (noTable) Write(_ row.Transaction, done func(error)) {
	done(&row.UnavailableError{Err: &NoTableError{}})
}
