package quota

import "github.com/sycamorecourse/sycamorecourse/coord/lease"

// Grant is the part of a limit that one process holds.
type Grant struct {
	// Holder is the process.
	Holder lease.Holder `cbor:"1,keyasint"`
	// Amount is what it may spend while the grant lasts.
	Amount uint64 `cbor:"2,keyasint"`
	// Demand is what it asks for.
	Demand Demand `cbor:"3,keyasint"`
	// Sequence is that of the ledger when the grant was last renewed. It never
	// repeats.
	Sequence uint64 `cbor:"4,keyasint"`
}
