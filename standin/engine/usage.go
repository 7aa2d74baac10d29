package engine

// Usage says what an answer took.
type Usage struct {
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is the number of tokens of the prompt and the resumed text
	// that came from the prefix cache or an imported KV cache.
	CachedTokens int `json:"cached_tokens"`
	// RecomputedTokens is the number of tokens of the prompt and the resumed
	// text that a resumed request had to compute again.
	RecomputedTokens int `json:"recomputed_tokens"`
	// CompletionTokens is the number of tokens of the whole answer.
	CompletionTokens int `json:"completion_tokens"`
}
