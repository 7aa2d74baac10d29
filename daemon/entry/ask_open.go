package entry

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// askOpen asks for the number of requests in progress.
type askOpen struct {
	reply *ring.Ring[int]
}

func (askOpen) isDispatchMessage() {}
