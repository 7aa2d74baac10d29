package attempt

// Answer is the answer to a completed request, or a reference to it.
type Answer struct {
	// Reference names the object that stores the answer; empty if there is none.
	Reference string `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the whole answer.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Pieces is the number of pieces in which the answer was streamed.
	Pieces int `cbor:"3,keyasint,omitempty"`
	// Inline is the answer itself if it is small enough to be stored in a row.
	Inline []byte `cbor:"4,keyasint,omitempty"`
}
