package engine

// Choice is the only alternative of a Chunk and holds one token.
type Choice struct {
	// Index is always 0.
	Index int `json:"index"`
	// Text is the text of the token.
	Text string `json:"text"`
	// TokenIndex is the index of the token in the completion.
	TokenIndex int `json:"token_index"`
	// FinishReason is stop or length in the last chunk, and nil before.
	FinishReason *string `json:"finish_reason"`
}
