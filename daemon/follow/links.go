package follow

import (
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// Links is what the duty needs of link.Links.
type Links interface {
	// Send offers a message to a peer.
	Send(id string, m wire.Message) error
	// SetTargets says whom to link to.
	SetTargets(targets []link.Target) error
	// Drop ends the link to a peer that does not answer.
	Drop(id string) error
	// Self returns how this process introduces itself.
	Self() wire.Hello
}
