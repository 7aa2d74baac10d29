package entry

import (
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// arrive is a decoded request and the exchange to answer it on.
type arrive struct {
	exchange *httpd.Exchange
	request  relay.Request
}

func (arrive) isDispatchMessage() {}
