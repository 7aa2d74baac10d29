package entry

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/sse"
	"github.com/sycamorecourse/sycamorecourse/platform/upstream"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// maxPlainBytes bounds an answer that is gathered before it goes on.
const maxPlainBytes = 8 << 20

// receiver offers the answer of one attempt to dispatch. A slot was reserved
// for its end. What finds no room before stays here and goes with the next
// offer. It implements httpc.Sink.
type receiver struct {
	ref     relay.AttemptRef
	streams bool
	inbox   *ring.Ring[dispatchMessage]

	splitter sse.Splitter
	pending  *news
	isStream bool
	tooBig   bool
}

// Head implements httpc.Sink.
func (r *receiver) Head(status int, header http.Header) {
	n := r.next()
	n.head = upstream.DecodeHead(status, header)
	n.header = upstream.AnswerHeader(header)
	r.isStream = r.streams && status == http.StatusOK
}

// Body implements httpc.Sink.
func (r *receiver) Body(p []byte) {
	n := r.next()
	if !r.isStream {
		if len(n.events.Bytes)+len(p) > maxPlainBytes {
			r.tooBig = true
			return
		}
		n.events.Bytes = append(n.events.Bytes, p...)
		return
	}
	whole, first, last := r.splitter.Add(p)
	if len(whole) == 0 {
		return
	}
	n.events.Bytes = append(n.events.Bytes, whole...)
	if n.events.FirstEvent == 0 {
		n.events.FirstEvent = first
	}
	if last != 0 {
		n.events.LastEvent = last
	}
	if r.inbox.Offer(n) == nil {
		r.pending = nil
	}
}

// Done implements httpc.Sink.
func (r *receiver) Done() {
	n := r.next()
	if r.tooBig {
		r.Failed(&AnswerSizeError{Limit: maxPlainBytes})
		return
	}
	n.events.Bytes = append(n.events.Bytes, r.splitter.Rest()...)
	n.done = true
	r.end(n)
}

// Failed implements httpc.Sink.
func (r *receiver) Failed(err error) {
	var notSent *httpc.NotSentError
	n := r.next()
	n.failure = &relay.Failure{NotSent: errors.As(err, &notSent), Detail: err.Error()}
	r.end(n)
}

// end fails only after the end of dispatch.
func (r *receiver) end(n *news) {
	_ = r.inbox.OfferReserved(n)
}

func (r *receiver) next() *news {
	if r.pending == nil {
		r.pending = &news{ref: r.ref}
	}
	return r.pending
}
