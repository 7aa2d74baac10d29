package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// moveAnswer sends the callers of a request to another gateway.
type moveAnswer struct {
	id      request.ID
	address string
}

func (moveAnswer) isDeliveryMessage() {}
