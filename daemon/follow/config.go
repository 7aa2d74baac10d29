package follow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

const (
	// inboxSlots is the capacity of the inbox.
	inboxSlots = 4096
	// inboxMessageLimit is the depth of the inbox from which everything but
	// link events is refused. The rest of the slots is left to link events,
	// which must not be lost; a lost message is made up for after a later
	// heartbeat.
	inboxMessageLimit = 3 * inboxSlots / 4
	// settleTime is how long after its start a process is assumed not to know
	// all members yet.
	settleTime = 4 * time.Second
	// deliverRetryInterval is the wait before a refused update is delivered
	// again.
	deliverRetryInterval = 50 * time.Millisecond
)

// Config configures a Follow.
type Config struct {
	// Spread configures the node that makes the decisions.
	Spread spread.Config
	// Deliver offers an update to the ring of the owner. If it fails, the
	// update is kept, merged with later changes and delivered again.
	Deliver func(Update) error
	// Next receives all link events, and the messages that are not for this
	// duty. Nil means none. Its methods must only offer to a ring.
	Next link.Handler
	// Log is the logger of the duty.
	Log zerolog.Logger
	// Registry is where the metrics are registered; nil for nowhere.
	Registry prometheus.Registerer
}
