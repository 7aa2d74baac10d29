package engine

// Usage counts the tokens of a request by how they were obtained.
type Usage struct {
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the number of tokens of the prompt and the resumed text
	// that came from the prefix cache or an imported KV cache.
	CachedTokens int `json:"cached_tokens"`
	// RecomputedTokens is the number of tokens of the prompt and the resumed
	// text that a resumed request had to prefill again.
	RecomputedTokens int `json:"recomputed_tokens"`
	// CompletionTokens is the number of tokens of the completion, including
	// those before the resume.
	CompletionTokens int `json:"completion_tokens"`
}
