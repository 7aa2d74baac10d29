package client

// Answer is a whole answer, checked against its count and digest.
type Answer struct {
	// Text is the whole text.
	Text string
	// Pieces is the number of pieces.
	Pieces int
	// Tokens is the number of tokens.
	Tokens int
	// Attempts is the number of attempts at upstreams.
	Attempts int
	// RecomputedTokens is the number of tokens computed again after a move.
	RecomputedTokens int
	// Tries is how often this client sent or resumed the request.
	Tries int
}
