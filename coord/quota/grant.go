package quota

import "github.com/sycamorecourse/sycamorecourse/coord/lease"

// Grant is the part of a limit that one holder has in the ledger.
type Grant struct {
	// Holder identifies the process or lease that holds the grant.
	Holder lease.Holder `cbor:"1,keyasint"`
	// Amount is what the holder may spend until the grant expires.
	Amount uint64 `cbor:"2,keyasint"`
	// Demand is what the holder demands.
	Demand Demand `cbor:"3,keyasint"`
	// Sequence is the Ledger.Sequence of the write that last renewed the grant.
	// It never repeats.
	Sequence uint64 `cbor:"4,keyasint"`
}
