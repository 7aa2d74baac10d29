package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Recall makes the answer of a request that completed at another gateway known
// here, as the record of its attempt has it.
type Recall struct {
	// ID names the request.
	ID request.ID
	// Pieces are the whole answer.
	Pieces []request.Piece
	// Summary says how the request ended.
	Summary request.Summary
}

func (Recall) isAction() {}
