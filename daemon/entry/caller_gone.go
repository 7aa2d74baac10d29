package entry

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// callerGone reports that a caller has disconnected before the end of its response.
type callerGone struct {
	exchange *httpd.Exchange
}

func (callerGone) isDispatchMessage() {}
