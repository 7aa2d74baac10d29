package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Deliver gives further pieces to the callers of a request. When they can't be
// given now, the owner calls Core.Undelivered and they come again.
type Deliver struct {
	// ID names the request.
	ID request.ID
	// Pieces follow what was given before.
	Pieces []request.Piece
}

func (Deliver) isAction() {}
