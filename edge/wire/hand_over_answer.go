package wire

// HandOverAnswer says whether a request was taken over.
type HandOverAnswer struct {
	// Correlation is that of the HandOver.
	Correlation uint64 `cbor:"1,keyasint"`
	// Taken is true when the receiver owes the answer from now on.
	Taken bool `cbor:"2,keyasint"`
	// Reason says why the request was not taken.
	Reason string `cbor:"3,keyasint"`
}
