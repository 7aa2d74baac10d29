package dispatch

import "time"

// Import gives KV cache to an upstream, whose handle for it goes to
// Core.Imported, or a failure to Core.ImportFailed.
type Import struct {
	// Ref names the attempt that is to use it.
	Ref Ref
	// Address is the IP and port of the upstream.
	Address string
	// Cache is the KV cache as it was exported.
	Cache []byte
	// Timeout bounds the call.
	Timeout time.Duration
}

func (Import) isAction() {}
