package entry

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// pollReceived is a poll of another gateway.
type pollReceived struct {
	exchange *httpd.Exchange
}

func (pollReceived) isPeerMessage() {}
