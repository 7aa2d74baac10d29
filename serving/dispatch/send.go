package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Send starts an attempt at an upstream.
type Send struct {
	// Ref names the attempt.
	Ref Ref
	// Address is the IP and port of the upstream.
	Address string
	// Request is what to run.
	Request *request.Request
	// ResumeTokens is the number of tokens that callers have; the upstream goes
	// on behind them.
	ResumeTokens int
	// ResumeText is their text.
	ResumeText string
	// KVHandle names KV cache that was imported at the upstream; empty for none.
	KVHandle string
	// NotAfter is the instant from which the first byte must not be sent; 0 is
	// no bound.
	NotAfter clock.Instant
	// Deadline is when the answer is of no use any more.
	Deadline clock.Instant
}

func (Send) isAction() {}
