package attempt

// Answer tells where the answer to a completed request is and what it is.
type Answer struct {
	// Reference names the object that holds the answer; empty for none.
	Reference string `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the whole answer.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Pieces is the number of pieces of the answer.
	Pieces int `cbor:"3,keyasint,omitempty"`
	// Inline is the answer itself where it is small enough for a row.
	Inline []byte `cbor:"4,keyasint,omitempty"`
}
