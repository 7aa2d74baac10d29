package engine

// Canceled is the answer to DELETE /v1/completions/{request_id}.
type Canceled struct {
	// RequestID names the request.
	RequestID string `json:"request_id"`
	// Phase is how the request ended.
	Phase Phase `json:"phase"`
	// Started is false when no token was computed for the request.
	Started bool `json:"started"`
	// TokensSent is the number of tokens of the answer that were generated,
	// with those before the resume.
	TokensSent int `json:"tokens_sent"`
}
