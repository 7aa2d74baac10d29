package cluster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// Card is the row of one gateway.
type Card struct {
	// Instance names the instance; it is the key of the row.
	Instance string `cbor:"1,keyasint"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence counts the writes of the row by this incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// FailureDomain is that of the instance.
	FailureDomain string `cbor:"4,keyasint"`
	// Address is where callers connect.
	Address string `cbor:"5,keyasint"`
	// Ready gateways take requests.
	Ready bool `cbor:"6,keyasint"`
	// Offset is the gateway's time of day less the store's clock.
	Offset time.Duration `cbor:"7,keyasint"`
	// Windows are the requests that began to run, by usage window and customer.
	Windows map[int64]map[string]uint64 `cbor:"8,keyasint,omitempty"`
	// Demand is what each customer asked for lately, in its unit a second.
	Demand map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Loads are what the gateway asks of each service.
	Loads map[string]scale.Load `cbor:"10,keyasint,omitempty"`
	// At is the store's clock when the row was written, as its gateway knew it; 0
	// if it did not.
	At time.Duration `cbor:"11,keyasint,omitempty"`
	// Age is how long ago the row was written when it was read. It is not part of
	// the row.
	Age time.Duration `cbor:"-"`
}
