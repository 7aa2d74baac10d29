package dispatch

import "time"

// Export stops an attempt at its upstream and fetches its KV cache. The owner
// reports the result to Core.Exported or Core.ExportFailed.
type Export struct {
	// Ref identifies the attempt.
	Ref StreamRef
	// Address is the IP and port of the upstream.
	Address string
	// Timeout limits the call.
	Timeout time.Duration
}

func (Export) isAction() {}
