package host

// FailureDetail describes an error.
type FailureDetail struct {
	// Type is the type of the error.
	Type FailureType `json:"type"`
	// Message is for people.
	Message string `json:"message,omitempty"`
	// Last is the last fencing number, for a stale order.
	Last uint64 `json:"last,omitempty"`
}
