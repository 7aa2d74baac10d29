package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
)

// watchMessage is a message to the watch duty: the store's response to a call for
// a table, or a request for a state dump.
type watchMessage struct {
	table  string
	isList bool
	page   rows.Page
	err    error
	dump   *ring.Ring[report.Section]
}
