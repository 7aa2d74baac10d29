package wire

// Payload carries an opaque message between two components that define its
// encoding themselves.
type Payload struct {
	// Name identifies the type of the message in Bytes.
	Name string `cbor:"1,keyasint"`
	// Correlation matches a reply to its request.
	Correlation uint64 `cbor:"2,keyasint"`
	// Bytes is the encoded message.
	Bytes []byte `cbor:"3,keyasint"`
}
