package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// StreamRef identifies one stream of an attempt. A Core ignores what is reported
// for a stream that is no longer the current one of its request.
type StreamRef struct {
	// ID identifies the request.
	ID request.ID
	// Attempt counts the attempts of the request from 1.
	Attempt int
	// AttemptID names the attempt at its upstream. No other attempt has it, whatever
	// its request or its gateway.
	AttemptID string
	// Stream counts the connections to the attempt from 0; each Reattach adds
	// one.
	Stream int
}
