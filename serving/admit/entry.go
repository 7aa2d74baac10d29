package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Entry is a request as the queue sees it.
type Entry struct {
	// ID is the request's number at this gateway.
	ID uint64
	// Customer names the customer that the request is made for.
	Customer string
	// Pool names the pool that serves the request.
	Pool string
	// Priority orders the requests: a higher one goes first.
	Priority int
	// Arrived is when the gateway received the request.
	Arrived clock.Instant
	// FirstTokenBy is the latency target for the first token; 0 means none. A
	// request that can't meet its target still runs, after those that can.
	FirstTokenBy clock.Instant
	// Deadline is the time after which the answer is useless; 0 means none.
	Deadline clock.Instant
	// PredictedFirstToken is the predicted time from dispatch to the first
	// token.
	PredictedFirstToken time.Duration
	// PredictedWork is the predicted time from dispatch to the last token.
	PredictedWork time.Duration
}
