package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// LimitReply is the response to a LimitAsk.
type LimitReply struct {
	// Outcome is the decision. What is admitted counts as used by the gateway that
	// responds.
	Outcome limit.Outcome `cbor:"1,keyasint"`
	// RetryAfter is when the caller should try again if the request is not admitted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}
