package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Entry is a request in the queue.
type Entry struct {
	// ID names the request at this gateway.
	ID uint64
	// Customer is who the request is made for.
	Customer string
	// Pool names the pool that is to run it.
	Pool string
	// Priority orders requests of one customer: higher goes first.
	Priority int
	// Arrived is when the request came.
	Arrived clock.Instant
	// FirstTokenBy is when the first token is wanted; 0 is no target. A request
	// past its target is still run, after those that can meet theirs.
	FirstTokenBy clock.Instant
	// Deadline is when the whole answer is of no use any more; 0 is none.
	Deadline clock.Instant
	// PredictedFirstToken is the predicted time at an upstream until the first
	// token.
	PredictedFirstToken time.Duration
	// PredictedWork is the predicted time at an upstream until the last token.
	PredictedWork time.Duration
}
