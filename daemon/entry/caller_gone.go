package entry

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// callerGone says that a caller's connection ended before its answer.
type callerGone struct {
	exchange *httpd.Exchange
}

func (callerGone) isDispatchMessage() {}
