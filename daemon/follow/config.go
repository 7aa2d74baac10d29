package follow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

const (
	// inboxSlots is the number of events that may wait.
	inboxSlots = 4096
	// inboxSlotsForMessages leaves room for the beginnings and ends of links,
	// which must not be lost. A message may be.
	inboxSlotsForMessages = 3 * inboxSlots / 4
	// settleTime is how long after its start a process is not taken to know all
	// members.
	settleTime = 4 * time.Second
	// deliverRetry is the wait before a refused update is delivered again.
	deliverRetry = 50 * time.Millisecond
)

// Config configures a Follow.
type Config struct {
	// Spread configures the decisions.
	Spread spread.Config
	// Deliver offers an update to the ring of the owner. When it fails, the
	// update is kept, merged with what comes later, and delivered again.
	Deliver func(Update) error
	// Other takes the beginnings and ends of links and all messages that are not
	// this duty's; nil for none. Its methods only offer to a ring.
	Other link.Handler
	// Log takes the events.
	Log zerolog.Logger
	// Registry takes the metrics; nil for none.
	Registry prometheus.Registerer
}
