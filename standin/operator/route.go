package operator

// Route is a route of a configuration.
type Route struct {
	// Name names the route.
	Name string `json:"name"`
	// Host and Prefix choose requests.
	Host   string `json:"hostname"`
	Prefix string `json:"prefix"`
	// Kind says whether requests may be repeated.
	Kind Kind `json:"route_type"`
	// Service runs the requests.
	Service string `json:"service"`
	// Attempts is how often a request may be sent.
	Attempts int `json:"attempts"`
	// Resumes is true for streams that may go on at another upstream.
	Resumes bool `json:"stream_resume"`
	// TimeoutMS bounds a request, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// TargetMS is the wanted time to the first event, in milliseconds.
	TargetMS int `json:"target_latency_ms"`
	// GapMS is the wanted time between two events, in milliseconds.
	GapMS int `json:"gap_target_ms,omitempty"`
}
