package wire

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// HandOver offers an open request to another gateway, which replies with a
// HandOverAnswer.
type HandOver struct {
	// Correlation is repeated in the HandOverAnswer.
	Correlation uint64 `cbor:"1,keyasint"`
	// Request is the request as it was accepted.
	Request request.Request `cbor:"2,keyasint"`
	// Pieces are the pieces of the answer so far.
	Pieces []request.Piece `cbor:"3,keyasint"`
	// Upstream names the instance that runs the request; empty for none.
	Upstream string `cbor:"4,keyasint"`
	// Stream is the upstream's token for resuming the stream.
	Stream string `cbor:"5,keyasint"`
	// Attempt is the state of the request, encoded by the sending gateway. This
	// package does not decode it.
	Attempt []byte `cbor:"6,keyasint"`
}
