package httpd

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// connection is the parser's view of one caller's connection: the library's
// server processor, the exchange that is open on it, and the next one if the
// caller sent it before the answer of the open one had ended.
type connection struct {
	*nbhttp.ServerProcessor
	handler Handler
	open    atomic.Pointer[Exchange]
	next    atomic.Pointer[Exchange]
}

// Close implements nbhttp.Processor. It is called once, at the end of the
// connection.
func (c *connection) Close(parser *nbhttp.Parser, err error) {
	c.next.Store(nil)
	if x := c.open.Swap(nil); x != nil {
		c.handler.Gone(x)
	}
	c.ServerProcessor.Close(parser, err)
}

// begin serves an exchange, now or when the open one has ended. It returns
// false when one waits already. The pollers call it for one exchange at a time.
func (c *connection) begin(x *Exchange) bool {
	if c.open.CompareAndSwap(nil, x) {
		c.serve(x)
		return true
	}
	if !c.next.CompareAndSwap(nil, x) {
		return false
	}
	c.promote()
	return true
}

// end takes an exchange off the connection after the end of its answer.
func (c *connection) end(x *Exchange) {
	if c.open.CompareAndSwap(x, nil) {
		c.promote()
	}
}

// abort takes an exchange off the connection, which is to be closed.
func (c *connection) abort(x *Exchange) {
	c.next.Store(nil)
	c.open.CompareAndSwap(x, nil)
}

// promote serves the waiting exchange if none is open.
func (c *connection) promote() {
	if c.open.Load() != nil {
		return
	}
	if x := c.next.Swap(nil); x != nil {
		c.open.Store(x)
		c.serve(x)
	}
}

func (c *connection) serve(x *Exchange) {
	_ = x.conn.SetReadDeadline(time.Time{})
	c.handler.Serve(x)
}
