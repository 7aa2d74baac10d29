package client

// Answer is a complete answer, verified against the counts and the digest that the
// system sent.
type Answer struct {
	// Text is the text of the answer.
	Text string
	// Pieces is the number of pieces.
	Pieces int
	// Tokens is the number of tokens.
	Tokens int
	// Attempts is the number of attempts at upstreams.
	Attempts int
	// RecomputedTokens is the number of tokens computed again after the request
	// moved to another upstream.
	RecomputedTokens int
	// Tries is the number of times that this client sent or resumed the request.
	Tries int
}
