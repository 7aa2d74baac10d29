package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// Send begins an attempt.
type Send struct {
	// Ref names the attempt.
	Ref Ref
	// Upstream is where it goes.
	Upstream *catalog.Upstream
	// Left is the time in which the upstream is to answer.
	Left time.Duration
	// Customer names the customer; empty for none.
	Customer string
	// After is the number of the last event that the caller has; 0 for none.
	After int64
	// Streams is true when the answer is a stream of events.
	Streams bool
	// Urgency orders requests at a model engine, 0 first.
	Urgency int
}

func (Send) isAction() {}
