package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// decodedRequest is a decoded request of a caller and the exchange to answer
// it on.
type decodedRequest struct {
	exchange *httpd.Exchange
	message  caller.Message
}
