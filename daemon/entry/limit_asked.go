package entry

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// limitAsked is the question of another gateway about a customer's limit.
type limitAsked struct {
	exchange *httpd.Exchange
}

func (limitAsked) isDispatchMessage() {}
