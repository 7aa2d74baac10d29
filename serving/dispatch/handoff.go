package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Handoff is an open request on its way to another gateway.
type Handoff struct {
	// Request is the request as accepted.
	Request request.Request `cbor:"1,keyasint"`
	// Pieces are the pieces of the answer so far.
	Pieces []request.Piece `cbor:"2,keyasint"`
	// UnixSeconds is the time of its arrival by the wall clock, for the record
	// alone.
	UnixSeconds int64 `cbor:"3,keyasint"`
	// Left is the time until its deadline.
	Left time.Duration `cbor:"4,keyasint"`
	// Attempts is the number of attempts so far.
	Attempts int `cbor:"5,keyasint"`
	// RecomputedTokens is the number of tokens computed again so far.
	RecomputedTokens int `cbor:"6,keyasint"`
	// Upstream names the instance that runs it; empty for none.
	Upstream string `cbor:"7,keyasint"`
	// Address is the IP and port of that instance.
	Address string `cbor:"8,keyasint"`
	// MayHaveRun reports that an attempt was sent and not refused.
	MayHaveRun bool `cbor:"9,keyasint"`
	// Claim is the right to finish a non-idempotent request; nil for others.
	Claim *attempt.Handoff `cbor:"10,keyasint"`
}
