package dispatch

import "time"

// Export stops an attempt at its upstream and asks for its KV cache, which goes
// to Core.Exported, or a failure to Core.ExportFailed.
type Export struct {
	// Ref names the attempt.
	Ref Ref
	// Address is the IP and port of the upstream.
	Address string
	// Timeout bounds the call.
	Timeout time.Duration
}

func (Export) isAction() {}
