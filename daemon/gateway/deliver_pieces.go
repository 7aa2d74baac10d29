package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// deliverPieces adds pieces to an answer and sends them to its callers.
type deliverPieces struct {
	id     request.ID
	pieces []request.Piece
}

func (deliverPieces) isDeliveryMessage() {}
