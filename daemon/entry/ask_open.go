package entry

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// askOpen asks for the number of requests in progress.
type askOpen struct {
	reply *ring.Ring[int]
	// isLast makes dispatch refuse what comes later, if there is none: whoever asks
	// ends the process then.
	isLast bool
}

func (askOpen) isDispatchMessage() {}
