package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Accept tells the caller that its answer is owed, and attaches it to the
// request.
type Accept struct {
	// Handle is the caller.
	Handle Handle
	// ID names the request.
	ID request.ID
}

func (Accept) isAction() {}
