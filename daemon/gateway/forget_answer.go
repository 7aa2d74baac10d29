package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// forgetAnswer drops an answer that ended.
type forgetAnswer struct {
	id request.ID
}

func (forgetAnswer) isDeliveryMessage() {}
