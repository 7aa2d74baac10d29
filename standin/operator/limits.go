package operator

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int `json:"max_header_bytes"`
	BodyBytes   int `json:"max_body_bytes"`
	// IdleMS bounds the time of an unused connection, in milliseconds; 0 does not.
	IdleMS int `json:"idle_timeout_ms,omitempty"`
}
