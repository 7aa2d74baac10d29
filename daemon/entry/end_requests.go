package entry

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// endRequests makes dispatch end all requests in progress with a reply that they may
// have run, since the process ends.
type endRequests struct {
	reply *ring.Ring[int]
}

func (endRequests) isDispatchMessage() {}
