package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// sender is the part of link.Links that handover uses.
type sender interface {
	// Send offers a message to a peer.
	Send(id string, m wire.Message) error
}
