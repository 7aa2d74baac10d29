package operator

// Route describes the requests to a host whose path has a prefix.
type Route struct {
	// Name is the unique name.
	Name string `json:"name"`
	// Host is the host name, and Prefix the path prefix, of the requests.
	Host   string `json:"hostname"`
	Prefix string `json:"prefix"`
	// Kind is how requests are answered and whether they may run more than once.
	Kind RouteKind `json:"route_type"`
	// Service is the name of the service that runs the requests.
	Service string `json:"service"`
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int `json:"attempts"`
	// Resumable is true if a broken stream may be resumed at another upstream.
	Resumable bool `json:"stream_resume"`
	// TimeoutMS limits the time to the complete response, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// LatencyTargetMS is the wanted time to the response or, for a stream, to its
	// first event, in milliseconds.
	LatencyTargetMS int `json:"target_latency_ms"`
	// GapTargetMS is the longest wanted time between two events of a stream, in
	// milliseconds.
	GapTargetMS int `json:"gap_target_ms,omitempty"`
}
