package attempt

// Holder identifies a process that may hold claims, from its start to its end.
type Holder struct {
	// Instance names the process.
	Instance string `cbor:"1,keyasint"`
	// Incarnation differs for each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
}
