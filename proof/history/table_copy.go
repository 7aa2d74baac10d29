package history

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// tableCopy is what a table held from an instant on.
type tableCopy struct {
	at   clock.Instant
	rows map[row.Key]row.Row
}
