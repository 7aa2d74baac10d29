package entry

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// requestArrived reports a decoded request and the exchange on which to respond.
type requestArrived struct {
	exchange *httpd.Exchange
	request  relay.Request
}

func (requestArrived) isDispatchMessage() {}
