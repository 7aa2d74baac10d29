package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/roster"
)

// watchMessage is a message to the watch duty: the store's response to a call for
// a table, the changes that a hub has passed on, this gateway's role, the other gateways,
// the question of one of them for what the store may have lost, the answer to such a
// question, upstreams that have said that they are leaving, or a request for a state dump.
type watchMessage struct {
	table   string
	isList  bool
	page    rows.Page
	err     error
	updates []exchange.TableUpdate
	// sentAt is when the hub was asked for the updates; their ages count from then.
	sentAt clock.Instant
	role   *watchRole
	// gateways are the other gateways, as known in a timeline of the store; 0 if they are not
	// meant.
	gateways         []exchange.Peer
	gatewaysTimeline uint64
	// catchUpAsked is the question of another gateway for what the store may have lost, and
	// caughtUp the outcome of such a question of this one.
	catchUpAsked *httpd.Exchange
	caughtUp     *caughtUp
	// draining are upstreams that have said in an answer that they are leaving, to this
	// gateway or to another one.
	draining []roster.Incarnation
	source   roster.Source
	dump     *ring.Ring[report.Section]
}
