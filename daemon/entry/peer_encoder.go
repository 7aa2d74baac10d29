package entry

// cborType is the content type of the messages between gateways.
const cborType = "application/cbor"

// peerEncoder is a message to another gateway.
type peerEncoder interface {
	// Encode returns the message in its wire format.
	Encode() ([]byte, error)
}
