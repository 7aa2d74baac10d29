package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// Handoff is the state of an open request that is handed over to another
// gateway.
type Handoff struct {
	// Request is the request as it was accepted.
	Request request.Request `cbor:"1,keyasint"`
	// Pieces are the pieces of the answer so far.
	Pieces []request.Piece `cbor:"2,keyasint"`
	// ArrivedUnix is the wall-clock time of the arrival in seconds since 1970.
	// It is only recorded; no decision depends on it.
	ArrivedUnix int64 `cbor:"3,keyasint"`
	// TimeLeft is the time until the deadline of the whole answer.
	TimeLeft time.Duration `cbor:"4,keyasint"`
	// Attempts is the number of attempts so far.
	Attempts int `cbor:"5,keyasint"`
	// RecomputedTokens is the number of tokens computed again so far.
	RecomputedTokens int `cbor:"6,keyasint"`
	// Upstream names the instance that runs the request; empty for none.
	Upstream string `cbor:"7,keyasint"`
	// Address is the IP and port of that instance.
	Address string `cbor:"8,keyasint"`
	// MayHaveRun reports that an attempt was sent and not refused by its
	// upstream.
	MayHaveRun bool `cbor:"9,keyasint"`
	// Claim is the released claim of a non-idempotent request; nil for others.
	// Whoever takes it up may finish the request.
	Claim *attempt.Handoff `cbor:"10,keyasint"`
	// AttemptID is StreamRef.AttemptID of the attempt at Upstream. It is empty if the
	// gateway has a release without it.
	AttemptID string `cbor:"11,keyasint,omitempty"`
}
