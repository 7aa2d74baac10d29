package httpc

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/edge/bytelimit"
	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

// noCall is the current call of a connection on which no request may be sent.
var noCall = &Call{}

// connection reads the responses of one connection and passes them to
// the sink of the current call.
//
// The client's thread sets current when it sends a request. Completion, closing
// and a failed send each try to clear it; only the one that does so reports the
// outcome of the call. Bytes that arrive while there is none set it to noCall, so that
// no request is sent any more.
//
// It reads heads and the framing of bodies itself; see package http1. The parser decodes
// bodies, behind a plain head that newSizedBody or newChunkedBody gives it, and reports
// them through bodyEvents. connection implements nbhttp.ParserCloser.
type connection struct {
	address string
	// number counts the connections of the client.
	number  uint64
	conn    *nbio.Conn
	parser  *nbhttp.Parser
	current atomic.Pointer[Call]
	// canceled is set before the connection is shut down for a canceled call.
	canceled atomic.Bool
	onIdle   func(*connection)
	// onUnsolicited is Config.OnUnsolicited.
	onUnsolicited func(address string)
	// budget is Config.Budget, of which the connection has taken the bytes in unparsed.
	budget *bytelimit.Budget
	// idleSince is when the connection was last put into the pool. The client's
	// thread owns it.
	idleSince time.Time
	// calls is the number of calls that were sent, and carried are their IDs. The client's
	// thread owns both.
	calls   int
	carried carriedIDs
	// keepAliveTimeout is how long the server keeps the connection idle, from the last
	// Keep-Alive field; 0 if unknown. The poller writes it before onIdle.
	keepAliveTimeout time.Duration

	// head holds the beginning of a response until its head is complete.
	head http1.HeadBuffer
	// unparsed counts the bytes received since the last part of a response was
	// complete: its head, or a chunk of its body.
	unparsed     atomic.Int64
	headComplete bool
	// complete is true from the end of a response until it is reported.
	complete bool

	// response is the head of the response that is being received, or of the last one.
	response      *http1.ResponseHead
	headDelivered bool
	// body handles the body of the response; nil before its head and after its end.
	body body
	// closeDelimited is true if the end of the connection marks the end of the
	// response body.
	closeDelimited bool
}

// ended reports the outcome of the call that is open when the connection ends.
func (c *connection) ended(err error) {
	c.releaseUnparsed()
	call := c.current.Swap(noCall)
	if call == nil || call == noCall {
		return
	}
	if c.canceled.Load() {
		err = &CanceledError{}
	}
	if !c.closeDelimited {
		call.Sink.Failed(&IncompleteError{Address: c.address, Err: translateError(err, call)})
		return
	}
	c.finishCloseDelimited(call, err)
}

// finishCloseDelimited ends a call whose response body is close-delimited. The
// response is complete only if the server closed the connection in order; after
// any other error its end may be missing.
func (c *connection) finishCloseDelimited(call *Call, err error) {
	var ended *ClosedError
	cause := translateError(err, call)
	if !errors.As(err, &ended) {
		call.Sink.Failed(&IncompleteError{Address: c.address, Err: &TruncatedError{Err: cause}})
		return
	}
	c.deliverHead(call)
	call.Sink.Done()
}

// deliverHead passes the status and the header to the sink, once per response.
func (c *connection) deliverHead(call *Call) {
	if c.headDelivered {
		return
	}
	c.headDelivered = true
	call.Sink.Head(c.response.Status, c.response.Header)
}

// checkEcho fails with a *MismatchError if the response belongs to another request, or
// does not tell beyond doubt to which one.
func (c *connection) checkEcho(call *Call) error {
	want, ok := call.id()
	if !ok {
		return nil
	}
	values := c.response.Header.Values(call.EchoHeader)
	isOther := func(value string) bool { return value != want }
	if slices.ContainsFunc(values, isOther) || len(values) == 0 && want != "" {
		got := strings.Join(values, ", ")
		return &MismatchError{Field: call.EchoHeader, Want: want, Got: got, Status: c.response.Status}
	}
	return nil
}

// describeSend returns how a call is about to be sent.
func (c *connection) describeSend(call *Call) Sent {
	return Sent{
		At: clock.System{}.Now(), Address: c.address, Connection: c.number, Calls: c.calls,
		RepeatsID: c.hasCarried(call), Skipped: call.skipped,
	}
}

// recordSend records that the connection carries a call.
func (c *connection) recordSend(call *Call) {
	c.calls++
	if id, ok := call.id(); ok {
		c.carried.add(xxhash.Sum64String(id))
	}
}

// hasCarried reports whether the connection has carried a call with the same ID.
func (c *connection) hasCarried(call *Call) bool {
	id, ok := call.id()
	return ok && c.carried.has(xxhash.Sum64String(id))
}

// isClosed reports whether the connection is closed.
func (c *connection) isClosed() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// isStale reports whether more than four fifths of the server's keep-alive
// timeout have passed, so that it may close the connection while a request is
// on its way.
func (c *connection) isStale(now time.Time) bool {
	return c.keepAliveTimeout > 0 && now.Sub(c.idleSince) > c.keepAliveTimeout*4/5
}
