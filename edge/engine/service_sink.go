package engine

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// maxReplyBytes is the maximum size of the body of a plain service's reply.
const maxReplyBytes = 4 << 20

// forwardedHeaders are the headers of a reply that are passed on to the caller.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After", "Etag"}

// serviceSink collects the reply of a plain service. It implements httpc.Sink.
type serviceSink struct {
	receiver   Receiver
	idempotent bool
	reply      request.ServiceReply
}

// Head implements httpc.Sink.
func (r *serviceSink) Head(status int, header http.Header) {
	r.reply.Status = status
	for _, name := range forwardedHeaders {
		if value := header.Get(name); value != "" {
			r.reply.Header = append(r.reply.Header, request.HeaderField{Name: name, Value: value})
		}
	}
}

// Body implements httpc.Sink.
func (r *serviceSink) Body(p []byte) error {
	if len(r.reply.Body)+len(p) > maxReplyBytes {
		return &ReplySizeError{}
	}
	r.reply.Body = append(r.reply.Body, p...)
	return nil
}

// Done implements httpc.Sink.
func (r *serviceSink) Done() {
	switch {
	case r.idempotent && r.reply.Status == http.StatusServiceUnavailable:
		// RefusedByUpstream makes the dispatcher try another upstream, which is
		// safe only for an idempotent call: a 503 does not prove that it did not
		// run.
		r.receiver.Failed(Tokens{}, dispatch.Failure{Kind: dispatch.RefusedByUpstream, Detail: "status 503"})
	default:
		r.receiver.Replied(&r.reply)
	}
}

// Failed implements httpc.Sink.
func (r *serviceSink) Failed(err error) {
	r.receiver.Failed(Tokens{}, failureFromError(err))
}
