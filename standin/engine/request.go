package engine

// Request is the body of POST /v1/completions.
type Request struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of the adapter, empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// MaxTokens limits the whole answer, with the tokens before ResumeFrom.
	MaxTokens int `json:"max_tokens"`
	// Stream must be true.
	Stream bool `json:"stream"`
	// Priority orders the queue; a lower number is served first.
	Priority int `json:"priority,omitempty"`
	// RequestID names the request for cancel, re-attach and export. Empty
	// takes a generated one.
	RequestID string `json:"request_id,omitempty"`
	// ResumeFrom is the number of tokens of the answer that were delivered.
	ResumeFrom int `json:"resume_from,omitempty"`
	// ResumeText is the text of those tokens.
	ResumeText string `json:"resume_text,omitempty"`
	// KVHandle names an imported KV cache, empty for none.
	KVHandle string `json:"kv_handle,omitempty"`
}
