package caller

// EndEvent is the data of the event "end" and part of a JSONAnswer. It lets the
// caller verify that it received the whole answer.
type EndEvent struct {
	// Key is the key of the request.
	Key string `json:"key"`
	// Outcome is "completed".
	Outcome string `json:"outcome"`
	// Pieces is the number of pieces in the answer.
	Pieces int `json:"pieces"`
	// Tokens is the number of tokens in the answer.
	Tokens int `json:"tokens"`
	// Digest is "sha256:" and the hexadecimal SHA-256 of the whole text.
	Digest string `json:"digest"`
	// Attempts is the number of attempts that the answer took.
	Attempts int `json:"attempts"`
	// RecomputedTokens is the number of tokens computed again after the request
	// moved to another upstream.
	RecomputedTokens int `json:"recomputed_tokens"`
}
