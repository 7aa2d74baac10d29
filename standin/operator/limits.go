package operator

// Limits are the size and idle limits for callers.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body of a request.
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	// IdleTimeoutMS is how long a connection may stay idle, in milliseconds; 0 means
	// no limit.
	IdleTimeoutMS int `json:"idle_timeout_ms,omitempty"`
}
