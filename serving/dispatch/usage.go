package dispatch

// Usage is what an upstream reports at the end of an answer.
type Usage struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// CachedTokens is the number of prompt tokens that were not computed.
	CachedTokens int
	// RecomputedTokens is the number of tokens that had been computed before at
	// another upstream.
	RecomputedTokens int
}
