package caller

// SubmitBody is the body of POST /v1/requests.
type SubmitBody struct {
	// Key is chosen by the caller and identifies the request.
	Key string `json:"key"`
	// Idempotent means that the request may be run more than once.
	Idempotent bool `json:"idempotent"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of the adapter; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// MaxTokens is the maximum number of tokens in the answer.
	MaxTokens int `json:"max_tokens"`
	// DeadlineMS is the time limit of the whole answer, in milliseconds; 0 selects
	// the default.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Priority orders the requests of one customer: higher is served first.
	Priority int `json:"priority,omitempty"`
	// Stream selects server-sent events or, if false, one JSON document. If it is
	// absent, the header Accept decides.
	Stream *bool `json:"stream,omitempty"`
}
