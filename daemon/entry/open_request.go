package entry

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// openRequest is what dispatch keeps of a request beside the core's state.
type openRequest struct {
	exchange *httpd.Exchange
	// calls and headers are those of the attempts whose answers may still come.
	calls   map[int]*httpc.Call
	headers map[int]http.Header
	status  map[int]int
}

func newOpenRequest(x *httpd.Exchange) *openRequest {
	return &openRequest{
		exchange: x,
		calls:    make(map[int]*httpc.Call, 1),
		headers:  make(map[int]http.Header, 1),
		status:   make(map[int]int, 1),
	}
}

// drop forgets an attempt.
func (o *openRequest) drop(ref relay.AttemptRef) {
	delete(o.calls, ref.Attempt)
}
