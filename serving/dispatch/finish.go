package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Finish ends the answer for all callers of a request.
type Finish struct {
	// ID names the request.
	ID request.ID
	// Pieces follow what was given before.
	Pieces []request.Piece
	// Summary says how the request ended.
	Summary request.Summary
}

func (Finish) isAction() {}
