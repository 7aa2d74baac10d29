package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Finish ends the answer for all callers of a request.
type Finish struct {
	// ID identifies the request.
	ID request.ID
	// Pieces follow those of earlier actions.
	Pieces []request.Piece
	// Summary describes the end of the request.
	Summary request.Summary
}

func (Finish) isAction() {}
