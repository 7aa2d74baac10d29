package entry

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/bytelimit"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/sse"
	"github.com/sycamorecourse/sycamorecourse/platform/upstream"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

// maxBufferedBytes bounds a response that is not streamed, which is buffered until
// its end, and what is kept of a stream while the ring is full.
const maxBufferedBytes = 8 << 20

// receiver passes the response of one attempt on to dispatch: a stream by whole
// events as they arrive, any other response at its end. While the ring is full it
// keeps the events, and sends them with the next update. A slot is reserved for
// the last update. It implements httpc.Sink.
type receiver struct {
	ref relay.AttemptRef
	// streaming is true if the route is answered by a stream of events.
	streaming bool
	// after is the number of the last event that the caller has; 0 if it has none.
	after int64
	inbox *ring.Ring[dispatchMessage]
	// budget bounds what all receivers keep, with the connections that they read from.
	budget *bytelimit.Budget

	// sent is how the attempt was sent. The thread of the client sets it before the
	// response can begin.
	sent     httpc.Sent
	splitter sse.Splitter
	// kept counts the bytes taken from budget.
	kept int
	// pending is the update that has not been sent yet.
	pending *attemptUpdate
	// isStream is true if this response is a stream; errors on a streaming route
	// are not.
	isStream bool
	// isUnframed is true if the body has neither a length nor chunks, so that only the
	// end of the connection ends it.
	isUnframed bool
	// hasEvent is true once the stream had an event.
	hasEvent bool
}

// setSent takes over how the attempt was sent.
func (r *receiver) setSent(s httpc.Sent) { r.sent = s }

// Head implements httpc.Sink.
func (r *receiver) Head(status int, header http.Header) {
	n := r.pendingUpdate()
	n.sent = r.sent
	n.head = upstream.DecodeHead(status, header)
	n.header = upstream.ResponseHeader(header)
	r.isStream = r.streaming && !n.head.NoEvents
	r.isUnframed = header.Get("Content-Length") == "" && header.Get("Transfer-Encoding") == ""
}

// Body implements httpc.Sink.
func (r *receiver) Body(p []byte) error {
	n := r.pendingUpdate()
	if len(n.body.Bytes)+len(p) > maxBufferedBytes {
		return &ResponseSizeError{Limit: maxBufferedBytes}
	}
	if !r.isStream {
		return r.keep(n, p)
	}
	events, err := r.splitter.Add(p)
	if err != nil {
		return err
	}
	events = events.After(r.after)
	if len(events.Bytes) == 0 {
		return nil
	}
	if err := r.keep(n, events.Bytes); err != nil {
		return err
	}
	n.body.HasData = n.body.HasData || events.HasData
	n.body.Unnumbered = n.body.Unnumbered || events.Unnumbered
	r.hasEvent = r.hasEvent || events.HasData || events.Last != 0
	if n.body.FirstEvent == 0 {
		n.body.FirstEvent = events.First
	}
	if events.Last != 0 {
		n.body.LastEvent = events.Last
	}
	if r.inbox.Offer(n) == nil {
		r.pending = nil
		r.release()
	}
	return nil
}

// keep adds bytes to the body of an update that waits.
func (r *receiver) keep(n *attemptUpdate, p []byte) error {
	if err := r.budget.Take(len(p), len(n.body.Bytes)); err != nil {
		return err
	}
	r.kept += len(p)
	n.body.Bytes = append(n.body.Bytes, p...)
	return nil
}

// release returns the bytes of an update that has been handed over.
func (r *receiver) release() {
	r.budget.Release(r.kept)
	r.kept = 0
}

// Done implements httpc.Sink.
func (r *receiver) Done() {
	n := r.pendingUpdate()
	rest := r.splitter.Rest()
	if err := r.checkEnd(rest); err != nil {
		n.failure = &relay.Failure{Disconnected: r.isUnframed, Detail: err.Error()}
		r.offerFinal(n)
		return
	}
	n.body.Bytes = append(n.body.Bytes, rest...)
	n.done = true
	r.offerFinal(n)
}

// checkEnd checks that a stream is complete where its body ends, with the given rest
// after the last event: not inside an event, and not before the first one if the body
// ends with its connection, as that of an upstream whose process has ended does.
func (r *receiver) checkEnd(rest []byte) error {
	switch {
	case !r.isStream:
		return nil
	case sse.IsPartialEvent(rest):
		return &PartialEventError{Bytes: len(rest)}
	case r.isUnframed && !r.hasEvent:
		return &EmptyStreamError{}
	default:
		return nil
	}
}

// Failed implements httpc.Sink.
func (r *receiver) Failed(err error) {
	var notSent *httpc.NotSentError
	n := r.pendingUpdate()
	n.failure = &relay.Failure{
		NotSent:      errors.As(err, &notSent),
		Disconnected: httpc.IsDisconnect(err),
		Detail:       err.Error(),
	}
	r.offerFinal(n)
}

// offerFinal sends the last update through the reserved slot. That fails only
// after the end of dispatch.
func (r *receiver) offerFinal(n *attemptUpdate) {
	_ = r.inbox.OfferReserved(n)
	r.release()
}

func (r *receiver) pendingUpdate() *attemptUpdate {
	if r.pending == nil {
		r.pending = &attemptUpdate{ref: r.ref}
	}
	return r.pending
}
