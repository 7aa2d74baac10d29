package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// restoreAnswer is the complete answer of a request that another gateway ran,
// read from the record of the request.
type restoreAnswer struct {
	id      request.ID
	pieces  []request.Piece
	summary request.Summary
}

func (restoreAnswer) isDeliveryMessage() {}
