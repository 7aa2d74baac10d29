package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// ProblemMediaType is the media type of problem details.
const ProblemMediaType = "application/problem+json"

var statusByReason = map[request.Reason]int{
	request.BadRequest:       http.StatusBadRequest,
	request.Unauthorized:     http.StatusUnauthorized,
	request.NotFound:         http.StatusNotFound,
	request.Conflict:         http.StatusConflict,
	request.Overloaded:       http.StatusServiceUnavailable,
	request.LimitReached:     http.StatusTooManyRequests,
	request.DeadlineUnmet:    http.StatusGatewayTimeout,
	request.NoUpstream:       http.StatusServiceUnavailable,
	request.StoreUnavailable: http.StatusServiceUnavailable,
	request.Draining:         http.StatusServiceUnavailable,
	request.NotConfigured:    http.StatusServiceUnavailable,
	request.UpstreamFailed:   http.StatusBadGateway,
	request.Duplicate:        http.StatusConflict,
	request.Moved:            http.StatusServiceUnavailable,
	request.Canceled:         http.StatusGone,
}

// NewProblem converts a refusal to problem details. A reason without an HTTP
// status of its own gets 500.
func NewProblem(r *request.Refusal, addresses []Address) Problem {
	status, ok := statusByReason[r.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	return Problem{
		Type:         "urn:sycamorecourse:" + string(r.Reason),
		Title:        string(r.Reason),
		Status:       status,
		Detail:       r.Detail,
		Outcome:      string(r.Outcome),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Addresses:    addresses,
	}
}

// ReplyProblem sends a refusal as problem details. The header Retry-After is
// rounded up to whole seconds.
func ReplyProblem(x *httpd.Exchange, r *request.Refusal, addresses []Address) error {
	p := NewProblem(r, addresses)
	body, err := json.Marshal(p)
	if err != nil {
		return &EncodeError{Err: err}
	}
	header := http.Header{"Content-Type": {ProblemMediaType}}
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return x.Reply(p.Status, header, body)
}
