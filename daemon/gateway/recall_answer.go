package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// recallAnswer is an answer that was read from the record of its request.
type recallAnswer struct {
	id      request.ID
	pieces  []request.Piece
	summary request.Summary
}

func (recallAnswer) isDeliveryMessage() {}
