package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Deliver sends further pieces to the callers of a request. If they can't be
// sent now, the owner calls Core.Undelivered; a later Deliver or the Finish then
// includes them.
type Deliver struct {
	// ID identifies the request.
	ID request.ID
	// Pieces follow those of earlier actions.
	Pieces []request.Piece
}

func (Deliver) isAction() {}
