package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// startAnswer starts the answer of a request that was taken over from another
// gateway. It has no callers yet.
type startAnswer struct {
	id     request.ID
	pieces []request.Piece
}

func (startAnswer) isDeliveryMessage() {}
