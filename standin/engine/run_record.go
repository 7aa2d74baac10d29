package engine

// RunRecord is the audit record of one execution of a request.
type RunRecord struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Adapter is the name of the adapter.
	Adapter string `json:"adapter,omitempty"`
	// Priority is the priority of the request.
	Priority int `json:"priority"`
	// Phase is the current or final phase.
	Phase Phase `json:"phase"`
	// Started is false until the run gets a slot.
	Started bool `json:"started"`
	// QueuedAtMillis is the Unix time of the arrival, in milliseconds.
	QueuedAtMillis int64 `json:"queued_at_ms"`
	// StartedAtMillis is the Unix time of the start, in milliseconds.
	StartedAtMillis int64 `json:"started_at_ms,omitempty"`
	// EndedAtMillis is the Unix time of the end, in milliseconds.
	EndedAtMillis int64 `json:"ended_at_ms,omitempty"`
	// ResumeFrom is the number of completion tokens that came with the request.
	ResumeFrom int `json:"resume_from"`
	// ResumeTextDiffers reports that the resumed text is not the beginning of
	// the completion.
	ResumeTextDiffers bool `json:"resume_text_differs,omitempty"`
	// TokensSent is the number of tokens that this run generated.
	TokensSent int `json:"tokens_sent"`
	// CachedTokens is the number of tokens of the prompt and the resumed text
	// that prefill skipped.
	CachedTokens int `json:"cached_tokens"`
	// RecomputedTokens is the number of tokens of the prompt and the resumed
	// text that a resumed run had to prefill again.
	RecomputedTokens int `json:"recomputed_tokens"`
}
