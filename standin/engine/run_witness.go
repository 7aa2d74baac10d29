package engine

// RunWitness is what became of one execution of a request.
type RunWitness struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of the adapter.
	Adapter string `json:"adapter,omitempty"`
	// Priority is that of the request.
	Priority int `json:"priority"`
	// Phase is where the execution is, or how it ended.
	Phase Phase `json:"phase"`
	// Started is false while no token has been computed.
	Started bool `json:"started"`
	// QueuedAtMillis is the Unix time of the arrival, in milliseconds.
	QueuedAtMillis int64 `json:"queued_at_ms"`
	// StartedAtMillis is the Unix time of the start, in milliseconds.
	StartedAtMillis int64 `json:"started_at_ms,omitempty"`
	// EndedAtMillis is the Unix time of the end, in milliseconds.
	EndedAtMillis int64 `json:"ended_at_ms,omitempty"`
	// ResumeFrom is the number of tokens that came with the request.
	ResumeFrom int `json:"resume_from"`
	// ResumeTextDiffers says that the text that came with the request is not
	// the beginning of the answer.
	ResumeTextDiffers bool `json:"resume_text_differs,omitempty"`
	// TokensSent is the number of tokens generated here.
	TokensSent int `json:"tokens_sent"`
	// CachedTokens is the number of tokens that were not computed.
	CachedTokens int `json:"cached_tokens"`
	// RecomputedTokens is the number of tokens computed again after a resume.
	RecomputedTokens int `json:"recomputed_tokens"`
}
