package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// RestoreAnswer loads the answer of a request that completed at another gateway,
// as stored in its record.
type RestoreAnswer struct {
	// ID identifies the request.
	ID request.ID
	// Pieces are the whole answer.
	Pieces []request.Piece
	// Summary describes the end of the request.
	Summary request.Summary
}

func (RestoreAnswer) isAction() {}
