package caller

// Problem is a refusal as problem details (RFC 9457).
type Problem struct {
	// Type is a URI that names the reason.
	Type string `json:"type"`
	// Title is the reason.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says more.
	Detail string `json:"detail"`
	// Outcome is not_run or unknown.
	Outcome string `json:"outcome"`
	// RetryAfterMS is when to try again, in milliseconds; 0: do not.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Addresses are other addresses to use, when this one is leaving.
	Addresses []Address `json:"addresses,omitempty"`
}
