package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Attach gives a caller the answer of a known request from a piece on.
type Attach struct {
	// Handle is the caller.
	Handle Handle
	// ID names the request.
	ID request.ID
	// From is the index of the first piece.
	From int
}

func (Attach) isAction() {}
