package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// adoptAnswer begins the answer of a request that was taken over.
type adoptAnswer struct {
	id     request.ID
	pieces []request.Piece
}

func (adoptAnswer) isDeliveryMessage() {}
