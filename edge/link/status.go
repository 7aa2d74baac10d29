package link

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// Status is the state of one link, as shown in a dump.
type Status struct {
	// Peer names the process at the other end.
	Peer string `json:"peer"`
	// Address is its IP and port.
	Address string `json:"address"`
	// Incarnation is that of the peer.
	Incarnation uint64 `json:"incarnation"`
	// Dialed is true when this process dialled.
	Dialed bool `json:"dialed"`
	// UpSeconds is how long the link has been up, in seconds.
	UpSeconds int64 `json:"up_seconds"`
	// Outbound is the ring of messages to the peer.
	Outbound ring.Stats `json:"outbound"`
}
