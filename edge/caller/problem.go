package caller

// Problem is the problem details (RFC 9457) of a refusal.
type Problem struct {
	// Type is a URN with the reason.
	Type string `json:"type"`
	// Title is the reason, a request.Reason.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail explains the reason.
	Detail string `json:"detail"`
	// Outcome is "not_run" or "unknown": whether the request may have run.
	Outcome string `json:"outcome"`
	// RetryAfterMS is the delay before a retry, in milliseconds; 0 means that the
	// caller should not retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Addresses are other gateways to use if this one is draining.
	Addresses []Address `json:"addresses,omitempty"`
}
