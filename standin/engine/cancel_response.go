package engine

// CancelResponse is the response to DELETE /v1/completions/{request_id}.
type CancelResponse struct {
	// RequestID names the request.
	RequestID string `json:"request_id"`
	// Phase is the final phase: canceled, or an earlier end if the request had
	// already ended.
	Phase Phase `json:"phase"`
	// Started is false when the request never got a slot, so that nothing was
	// computed for it.
	Started bool `json:"started"`
	// TokensSent is the number of tokens of the completion so far, including
	// those before ResumeFrom.
	TokensSent int `json:"tokens_sent"`
}
