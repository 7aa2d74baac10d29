package dispatch

// Usage is the token usage that an upstream reports at the end of an answer.
type Usage struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// CachedTokens is the number of prompt tokens found in the upstream's cache.
	CachedTokens int
	// RecomputedTokens is the number of tokens that another upstream had
	// computed before.
	RecomputedTokens int
}
