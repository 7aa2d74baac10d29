package engine

// Request is the body of POST /v1/completions.
type Request struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of the adapter; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// MaxTokens limits the completion, including the tokens before ResumeFrom.
	MaxTokens int `json:"max_tokens"`
	// Stream must be true; only streaming is supported.
	Stream bool `json:"stream"`
	// Priority orders the queue; lower numbers run first.
	Priority int `json:"priority,omitempty"`
	// RequestID identifies the request for cancel, re-attach and export. The
	// engine generates one when it is empty.
	RequestID string `json:"request_id,omitempty"`
	// ResumeFrom is the number of completion tokens that the caller has already
	// received; the stream begins with the next one.
	ResumeFrom int `json:"resume_from,omitempty"`
	// ResumeText is the text of those tokens.
	ResumeText string `json:"resume_text,omitempty"`
	// KVHandle identifies an imported KV cache; empty for none.
	KVHandle string `json:"kv_handle,omitempty"`
}
