package wire

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// HandOver gives a request in progress to another gateway.
type HandOver struct {
	// Correlation pairs the answer with it.
	Correlation uint64 `cbor:"1,keyasint"`
	// Request is the request as accepted.
	Request request.Request `cbor:"2,keyasint"`
	// Pieces are the pieces of the answer so far.
	Pieces []request.Piece `cbor:"3,keyasint"`
	// Upstream names the instance that runs the request; empty for none.
	Upstream string `cbor:"4,keyasint"`
	// Stream is the upstream's token for resuming its stream.
	Stream string `cbor:"5,keyasint"`
	// Attempt is the record of the attempt, in its holder's encoding.
	Attempt []byte `cbor:"6,keyasint"`
}
