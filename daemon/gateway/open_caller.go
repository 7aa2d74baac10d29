package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// openCaller hands a caller's exchange to delivery.
type openCaller struct {
	handle   dispatch.CallerHandle
	exchange *httpd.Exchange
	id       request.ID
	streamed bool
}

func (openCaller) isDeliveryMessage() {}
