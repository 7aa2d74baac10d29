package wire

// Hello is the first message that each side of a link sends. It holds only what
// stays the same for the life of the process; state that changes is sent in
// heartbeats and member updates.
type Hello struct {
	// Role is "gateway" or "controller" and must match the peer's certificate.
	Role string `cbor:"1,keyasint"`
	// Instance names the entry instance, the machine that the process runs on,
	// and must match the peer's certificate.
	Instance string `cbor:"2,keyasint"`
	// Incarnation increases with each start of the process.
	Incarnation uint64 `cbor:"3,keyasint"`
	// FailureDomain is the failure domain of the instance. Processes of one
	// failure domain can be lost together.
	FailureDomain string `cbor:"4,keyasint"`
	// Region is the region of the failure domain.
	Region string `cbor:"5,keyasint"`
	// PublicAddress is the address at which callers reach a gateway; empty for a
	// controller.
	PublicAddress string `cbor:"6,keyasint"`
	// LinkAddress is the address at which other processes open links to this one.
	LinkAddress string `cbor:"7,keyasint"`
}

// ID returns the name of the process, ROLE/INSTANCE.
func (h *Hello) ID() string {
	return h.Role + "/" + h.Instance
}
