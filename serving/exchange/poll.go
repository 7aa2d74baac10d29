package exchange

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// Poll is the message of a gateway to a hub.
type Poll struct {
	// Record is the present record of the gateway that polls.
	Record cluster.Record `cbor:"1,keyasint"`
	// Hub and Position are those of the last News from this hub; 0 before the first.
	Hub      uint64 `cbor:"2,keyasint,omitempty"`
	Position uint64 `cbor:"3,keyasint,omitempty"`
	// Versions are the versions of the tables of which it wants news; none if it
	// follows the store itself.
	Versions map[string]uint64 `cbor:"4,keyasint,omitempty"`
}
