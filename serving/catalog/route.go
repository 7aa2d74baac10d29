package catalog

import "time"

// Route describes the requests to a host whose path has a prefix.
type Route struct {
	// Name is the unique name.
	Name string
	// Host is the host name without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Kind is how requests are answered and whether they may run more than once.
	Kind Kind
	// Resumable is true if a broken stream may be resumed at another upstream after
	// the last event that the caller has.
	Resumable bool
	// Timeout limits the time to the complete response; 0 means the default of the
	// gateway.
	Timeout time.Duration
	// LatencyTarget is the wanted time to the response or, for a stream, to its
	// first event.
	LatencyTarget time.Duration
	// GapTarget is the longest wanted time between two events of a stream.
	GapTarget time.Duration
	// Priority orders requests when capacity is short, 0 first.
	Priority int
	// Services are the services among which requests are split by weight.
	Services []WeightedService
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Public is true if requests need no credential.
	Public bool
	// SessionAffinity is true if requests should go to an upstream that has their
	// prompt cached.
	SessionAffinity bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}
