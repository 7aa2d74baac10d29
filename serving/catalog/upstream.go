package catalog

// Upstream is one start of a process that runs the requests of a service.
type Upstream struct {
	// ID names the start.
	ID string
	// Service names the service.
	Service string
	// Address is its IP and port. Addresses are used again by others.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams get no new requests.
	Leaving bool
	// Reclaimable upstreams may be taken away.
	Reclaimable bool
	// Born is when it started, in Unix milliseconds; 0 if unknown. An upstream
	// that starts again under the same ID has a later one and knows nothing of
	// before.
	Born int64
}
