package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// Send starts an attempt by sending the request to an upstream.
type Send struct {
	// Ref is the attempt.
	Ref AttemptRef
	// Upstream is the destination.
	Upstream *catalog.Upstream
	// Timeout is the time that is left for the response.
	Timeout time.Duration
	// Customer names the customer; empty if there is none.
	Customer string
	// LastEventID is the number of the event after which a stream resumes; 0 if it
	// starts from the beginning.
	LastEventID int64
	// Streaming is true if the route is answered by a stream of events.
	Streaming bool
	// Priority orders requests at a model engine, 0 first.
	Priority int
}

func (Send) isAction() {}
