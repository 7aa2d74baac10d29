package follow

import (
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// Links is the part of link.Links that the duty uses.
type Links interface {
	// Send offers a message to a peer.
	Send(id string, m wire.Message) error
	// SetTargets sets the peers to link to.
	SetTargets(targets []link.Target) error
	// Drop closes the link to a peer that has stopped sending.
	Drop(id string) error
	// Self returns the Hello that this process sends to its peers.
	Self() wire.Hello
}
