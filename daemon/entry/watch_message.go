package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

// watchMessage is a message to the watch duty: the store's response to a call for
// a table, the changes that a hub has passed on, this gateway's role, the configuration
// that the others use, upstreams that have said that they are leaving, or a request for a state dump.
type watchMessage struct {
	table   string
	isList  bool
	page    rows.Page
	err     error
	updates []exchange.TableUpdate
	// sentAt is when the hub was asked for the updates; their ages count from then.
	sentAt clock.Instant
	role   *watchRole
	// newestConfig is the version of the newest configuration that the others use, 0 if none
	// has told; hasConfigNews is set if it is meant.
	newestConfig  uint64
	hasConfigNews bool
	// draining are upstreams that have said in an answer that they are leaving, to this
	// gateway or to another one.
	draining []roster.Incarnation
	source   roster.Source
	dump     *ring.Ring[report.Section]
}
