package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// deliverPieces are further pieces of an answer.
type deliverPieces struct {
	id     request.ID
	pieces []request.Piece
}

func (deliverPieces) isDeliveryMessage() {}
