package caller

// PieceEvent is the data of the event "piece".
type PieceEvent struct {
	// Index is the position of the piece in the answer, from 0.
	Index int `json:"index"`
	// Attempt is the number of the attempt that produced the piece.
	Attempt int `json:"attempt"`
	// Tokens is the number of tokens in the text.
	Tokens int `json:"tokens"`
	// Text is the text.
	Text string `json:"text"`
}
