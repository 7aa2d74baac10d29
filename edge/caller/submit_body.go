package caller

// SubmitBody is the body of POST /v1/requests.
type SubmitBody struct {
	// Key names the request.
	Key string `json:"key"`
	// Idempotent requests may be run again.
	Idempotent bool `json:"idempotent"`
	// Model names the model.
	Model string `json:"model"`
	// Adapter names the adapter; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text to go on from.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// DeadlineMS is the time for the whole answer, in milliseconds; 0 takes the
	// default.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Priority orders requests of one customer: higher goes first.
	Priority int `json:"priority,omitempty"`
	// Stream asks for events or, if false, for one JSON document. Without it
	// the field Accept decides.
	Stream *bool `json:"stream,omitempty"`
}
