package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// forgetAnswer deletes an answer that has ended.
type forgetAnswer struct {
	id request.ID
}

func (forgetAnswer) isDeliveryMessage() {}
