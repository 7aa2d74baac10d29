package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// watchMessage is a message to the watch duty: the store's response to a call for
// a table, the changes that a hub has passed on, this gateway's role, or a request
// for a state dump.
type watchMessage struct {
	table   string
	isList  bool
	page    rows.Page
	err     error
	updates []exchange.TableUpdate
	role    *watchRole
	dump    *ring.Ring[report.Section]
}
