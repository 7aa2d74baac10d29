package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Moved tells the callers of a request which gateway goes on with it, and drops
// its answer here.
type Moved struct {
	// ID names the request.
	ID request.ID
	// Address is what callers are to use.
	Address string
}

func (Moved) isAction() {}
