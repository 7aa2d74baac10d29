package wire

// Hello is the first message of each side of a link. What changes during the
// life of a process is not in it: heartbeats and member news carry that.
type Hello struct {
	// Role is gateway or controller. The certificate must name the same.
	Role string `cbor:"1,keyasint"`
	// Instance names the entry instance. The certificate must name the same.
	Instance string `cbor:"2,keyasint"`
	// Incarnation grows with each start of the process.
	Incarnation uint64 `cbor:"3,keyasint"`
	// FailureDomain is what the process can be lost together with.
	FailureDomain string `cbor:"4,keyasint"`
	// Region holds the failure domain.
	Region string `cbor:"5,keyasint"`
	// PublicAddress is where callers reach a gateway; empty for a controller.
	PublicAddress string `cbor:"6,keyasint"`
	// LinkAddress is where other processes reach it.
	LinkAddress string `cbor:"7,keyasint"`
}

// ID names the process: ROLE/INSTANCE.
func (h *Hello) ID() string {
	return h.Role + "/" + h.Instance
}
