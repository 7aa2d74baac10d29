package engine

// Choice is the text of a chunk.
type Choice struct {
	// Index is 0.
	Index int `json:"index"`
	// Text is the text of one token.
	Text string `json:"text"`
	// TokenIndex is the index of the token in the answer.
	TokenIndex int `json:"token_index"`
	// FinishReason is nil, stop or length.
	FinishReason *string `json:"finish_reason"`
}
