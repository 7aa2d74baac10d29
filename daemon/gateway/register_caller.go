package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// registerCaller hands the exchange of a caller to delivery.
type registerCaller struct {
	handle   dispatch.CallerHandle
	exchange *httpd.Exchange
	id       request.ID
	streamed bool
}

func (registerCaller) isDeliveryMessage() {}
