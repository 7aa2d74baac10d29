package dispatch

import "time"

// Import uploads a KV cache to an upstream. The owner reports the upstream's
// handle for it to Core.Imported, or a failure to Core.ImportFailed.
type Import struct {
	// Ref identifies the attempt that is to use the cache.
	Ref StreamRef
	// Address is the IP and port of the upstream.
	Address string
	// Cache is the KV cache as it was exported.
	Cache []byte
	// Timeout limits the call.
	Timeout time.Duration
}

func (Import) isAction() {}
