package caller

// submitBody is the body of POST /v1/requests.
type submitBody struct {
	Key        string `json:"key"`
	Idempotent bool   `json:"idempotent"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	DeadlineMS int64  `json:"deadline_ms"`
	Priority   int    `json:"priority"`
	Stream     *bool  `json:"stream"`
}
