package engine

// choice is the part of a chunk that carries a token. FinishReason is set on the
// last one.
type choice struct {
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`
	FinishReason *string `json:"finish_reason"`
}
