package entry

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// openRequest is the state of a request that dispatch keeps beside that of the
// core.
type openRequest struct {
	exchange *httpd.Exchange
	// calls, headers and statuses are indexed by attempt. A call is removed when its
	// response has ended; the header and status stay until the request ends.
	calls    map[int]*httpc.Call
	headers  map[int]http.Header
	statuses map[int]int
}

func newOpenRequest(x *httpd.Exchange) *openRequest {
	return &openRequest{
		exchange: x,
		calls:    make(map[int]*httpc.Call, 1),
		headers:  make(map[int]http.Header, 1),
		statuses: make(map[int]int, 1),
	}
}

// forgetAttempt removes the call of an attempt, so that it is not canceled later.
func (o *openRequest) forgetAttempt(ref relay.AttemptRef) {
	delete(o.calls, ref.Attempt)
}

// id returns the request's ID.
func (o *openRequest) id() string {
	return o.exchange.Header.Get(caller.FieldID)
}
