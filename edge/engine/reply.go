package engine

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// maxReplyBytes bounds the reply of a plain service.
const maxReplyBytes = 4 << 20

// passedFields are the header fields of a reply that callers get.
var passedFields = []string{"Content-Type", "Content-Language", "Location", "Retry-After", "Etag"}

// reply gathers the reply of a plain service. It implements httpc.Sink.
type reply struct {
	receiver   Receiver
	idempotent bool
	whole      request.ServiceReply
	tooLarge   bool
}

// Head implements httpc.Sink.
func (r *reply) Head(status int, header http.Header) {
	r.whole.Status = status
	for _, name := range passedFields {
		if value := header.Get(name); value != "" {
			r.whole.Header = append(r.whole.Header, request.HeaderField{Name: name, Value: value})
		}
	}
}

// Body implements httpc.Sink.
func (r *reply) Body(p []byte) {
	if len(r.whole.Body)+len(p) > maxReplyBytes {
		r.tooLarge = true
		return
	}
	r.whole.Body = append(r.whole.Body, p...)
}

// Done implements httpc.Sink.
func (r *reply) Done() {
	switch {
	case r.tooLarge:
		r.receiver.Failed(Tokens{}, dispatch.Failure{Kind: dispatch.TimedOut, Detail: "the reply is too large"})
	case r.idempotent && r.whole.Status == http.StatusServiceUnavailable:
		// The call may be repeated, so another upstream is asked.
		r.receiver.Failed(Tokens{}, dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: "status 503"})
	default:
		r.receiver.Replied(&r.whole)
	}
}

// Failed implements httpc.Sink.
func (r *reply) Failed(err error) {
	r.receiver.Failed(Tokens{}, failureOf(err))
}
