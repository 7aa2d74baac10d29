package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// HolderNews is the message with which two holders of customers' limits tell each other
// what they have used. The response to it is one as well.
type HolderNews struct {
	// Instance names the sender.
	Instance string `cbor:"1,keyasint"`
	// Used and Reserves are what the sender has used of the limits that it holds, and what
	// it may use beyond that.
	Used     map[string]limit.Use     `cbor:"2,keyasint,omitempty"`
	Reserves map[string]limit.Reserve `cbor:"3,keyasint,omitempty"`
	// CountedAt is when the sender counted that, by the store's clock; 0 if it does not
	// know that clock.
	CountedAt time.Duration `cbor:"5,keyasint,omitempty"`
}
