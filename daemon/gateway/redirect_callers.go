package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// redirectCallers sends the callers of a request to the gateway that has taken
// it over.
type redirectCallers struct {
	id      request.ID
	address string
}

func (redirectCallers) isDeliveryMessage() {}
