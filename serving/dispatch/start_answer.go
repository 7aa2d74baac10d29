package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// StartAnswer starts the answer of a request that was taken over from another
// gateway. No caller is attached to it yet.
type StartAnswer struct {
	// ID identifies the request.
	ID request.ID
	// Pieces are the pieces that the other gateway has.
	Pieces []request.Piece
}

func (StartAnswer) isAction() {}
