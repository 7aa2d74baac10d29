package link

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// Status is the state of one link, as shown in a state dump.
type Status struct {
	// Peer is the ID of the peer.
	Peer string `json:"peer"`
	// Address is the IP and port of the peer.
	Address string `json:"address"`
	// Incarnation is the incarnation of the peer.
	Incarnation uint64 `json:"incarnation"`
	// Dialed is true if this process dialed the connection.
	Dialed bool `json:"dialed"`
	// UpSeconds is how long the link has been up, in seconds.
	UpSeconds int64 `json:"up_seconds"`
	// Outbound is the state of the ring of messages to the peer.
	Outbound ring.Stats `json:"outbound"`
}
