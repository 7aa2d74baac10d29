package client

// Piece is a part of an answer. Pieces are delivered in order and without gaps.
type Piece struct {
	// Index is the position of the piece in the answer, from 0.
	Index int
	// Tokens is the number of tokens in the text.
	Tokens int
	// Text is the text.
	Text string
}
