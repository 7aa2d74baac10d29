package wire

// HandOverAnswer replies to a HandOver.
type HandOverAnswer struct {
	// Correlation is copied from the HandOver.
	Correlation uint64 `cbor:"1,keyasint"`
	// Accepted means that the replying gateway is now responsible for answering
	// the caller.
	Accepted bool `cbor:"2,keyasint"`
	// Reason says why the request was not accepted.
	Reason string `cbor:"3,keyasint"`
}
