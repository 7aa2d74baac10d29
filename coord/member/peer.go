package member

// Peer identifies a process, from its start to its end.
type Peer struct {
	// Instance names the process.
	Instance string `cbor:"1,keyasint"`
	// Incarnation increases with each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// FailureDomain is where the process runs.
	FailureDomain string `cbor:"3,keyasint"`
	// Address is the address at which the process accepts links.
	Address string `cbor:"4,keyasint"`
}
