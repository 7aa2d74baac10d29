package gateway

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// askIdle asks whether all requests have ended.
type askIdle struct {
	reply *ring.Ring[bool]
}

func (askIdle) isDispatchMessage() {}
