package caller

// EndEvent is the data of the event end, and part of a whole answer.
type EndEvent struct {
	// Key names the request.
	Key string `json:"key"`
	// Outcome is completed.
	Outcome string `json:"outcome"`
	// Pieces is the number of pieces.
	Pieces int `json:"pieces"`
	// Tokens is the number of tokens.
	Tokens int `json:"tokens"`
	// Digest is "sha256:" and the hexadecimal SHA-256 of the whole text.
	Digest string `json:"digest"`
	// Attempts is the number of attempts that the answer took.
	Attempts int `json:"attempts"`
	// RecomputedTokens is the number of tokens computed again after a move.
	RecomputedTokens int `json:"recomputed_tokens"`
}
