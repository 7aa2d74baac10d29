package client

// Piece is a part of an answer, in order and without gaps.
type Piece struct {
	// Index counts the pieces from 0.
	Index int
	// Tokens is the number of tokens in the text.
	Tokens int
	// Text is the text.
	Text string
}
