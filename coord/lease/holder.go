package lease

// Holder identifies one run of a process that may hold leases.
type Holder struct {
	// Instance names the process.
	Instance string `cbor:"1,keyasint"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
}
