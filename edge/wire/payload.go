package wire

// Payload carries a message of a part of the system that this package does not
// know.
type Payload struct {
	// Name says what the bytes are.
	Name string `cbor:"1,keyasint"`
	// Correlation pairs an answer with its question.
	Correlation uint64 `cbor:"2,keyasint"`
	// Bytes is the message in the encoding of its owner.
	Bytes []byte `cbor:"3,keyasint"`
}
