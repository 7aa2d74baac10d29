package entry

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// countOpenRequests asks dispatch for the number of requests in progress.
type countOpenRequests struct {
	reply *ring.Ring[int]
	// drainIfNone makes dispatch refuse all later requests if there are none, since
	// the process is about to end.
	drainIfNone bool
}

func (countOpenRequests) isDispatchMessage() {}
