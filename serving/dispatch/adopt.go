package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Adopt begins the answer of a request that was taken over. It has no caller
// yet.
type Adopt struct {
	// ID names the request.
	ID request.ID
	// Pieces are the pieces so far.
	Pieces []request.Piece
}

func (Adopt) isAction() {}
