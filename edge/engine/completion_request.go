package engine

// completionRequest is the body of POST /v1/completions. RequestID is the ID of the
// attempt: the engine may run several attempts at one request.
type completionRequest struct {
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
	KVHandle   string `json:"kv_handle,omitempty"`
}
