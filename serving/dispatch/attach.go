package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Attach attaches another caller to the answer of a known request and gives it
// the pieces from an index on.
type Attach struct {
	// Handle identifies the caller.
	Handle CallerHandle
	// ID identifies the request.
	ID request.ID
	// From is the index of the first piece that the caller wants.
	From int
}

func (Attach) isAction() {}
