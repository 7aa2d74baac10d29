package engine

// usage is the token accounting that an engine sends with the last chunk.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}
