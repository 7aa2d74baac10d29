package gateway

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// callerGone reports that the connection of a caller ended before its answer
// did.
type callerGone struct {
	exchange *httpd.Exchange
}

func (callerGone) isDeliveryMessage() {}
