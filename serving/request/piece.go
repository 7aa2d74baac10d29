package request

// Piece is a part of an answer.
type Piece struct {
	// Attempt is the number of the attempt that the piece belongs to.
	Attempt int `cbor:"1,keyasint"`
	// Index counts the pieces of the answer from 0, over all attempts.
	Index int `cbor:"2,keyasint"`
	// Tokens is the number of tokens in the text.
	Tokens int `cbor:"3,keyasint"`
	// Text is the text.
	Text string `cbor:"4,keyasint"`
}
