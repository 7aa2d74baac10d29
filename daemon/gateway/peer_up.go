package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/wire"

// peerUp reports that there is a link to a process.
type peerUp struct {
	peer wire.Hello
}

func (peerUp) isDispatchMessage() {}
