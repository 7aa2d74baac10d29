package engine

// usage is what an engine reports with the last chunk.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
}
