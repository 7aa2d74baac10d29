package member

// Peer is one run of a process.
type Peer struct {
	// Instance names the process.
	Instance string `cbor:"1,keyasint"`
	// Incarnation grows with each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// FailureDomain is where the process runs.
	FailureDomain string `cbor:"3,keyasint"`
	// Address is where its links are accepted.
	Address string `cbor:"4,keyasint"`
}
