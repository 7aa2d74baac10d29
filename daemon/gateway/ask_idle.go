package gateway

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// askIdle asks whether no request is open.
type askIdle struct {
	reply *ring.Ring[bool]
}

func (askIdle) isDispatchMessage() {}
