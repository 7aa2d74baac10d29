package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Accept tells a caller that its request was accepted and attaches it to the
// answer. A Finish or Redirect ends the answer.
type Accept struct {
	// Handle identifies the caller.
	Handle CallerHandle
	// ID identifies the request.
	ID request.ID
}

func (Accept) isAction() {}
