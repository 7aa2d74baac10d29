package request

// Piece is a part of an answer: the unit in which a streamed answer is sent and
// resumed.
type Piece struct {
	// Attempt is the number of the attempt that produced the piece.
	Attempt int `cbor:"1,keyasint"`
	// Index counts the pieces of the answer from 0, over all attempts.
	Index int `cbor:"2,keyasint"`
	// Tokens is the number of tokens in Text.
	Tokens int `cbor:"3,keyasint"`
	// Text is the generated text.
	Text string `cbor:"4,keyasint"`
}
