package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// peerDown reports that a link has ended.
type peerDown struct {
	peer wire.Hello
}

func (peerDown) isDispatchMessage() {}
