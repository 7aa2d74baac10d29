package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// finishAnswer adds the last pieces to an answer and ends it for all of its
// callers.
type finishAnswer struct {
	id      request.ID
	pieces  []request.Piece
	summary request.Summary
}

func (finishAnswer) isDeliveryMessage() {}
