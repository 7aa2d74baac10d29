package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// sender is the part of the links that a hand-over needs.
type sender interface {
	// Send offers a message to a peer.
	Send(id string, m wire.Message) error
}
