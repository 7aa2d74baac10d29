package httpd

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// connection extends the nbhttp processor of one client connection with the
// exchange that is being served and at most one pipelined exchange that waits for
// its end.
//
// nbhttp adds exchanges on its goroutines; the threads that reply remove them.
type connection struct {
	*nbhttp.ServerProcessor
	handler Handler
	current atomic.Pointer[Exchange]
	queued  atomic.Pointer[Exchange]
}

// Close implements nbhttp.Processor. It is called once, when the connection is
// closed.
func (c *connection) Close(parser *nbhttp.Parser, err error) {
	c.queued.Store(nil)
	if x := c.current.Swap(nil); x != nil {
		c.handler.Disconnected(x)
	}
	c.ServerProcessor.Close(parser, err)
}

// serveOrQueue serves an exchange at once, or queues it until the current one
// ends. It returns false if another one is queued already. It is never called
// concurrently for one connection.
func (c *connection) serveOrQueue(x *Exchange) bool {
	if c.current.CompareAndSwap(nil, x) {
		c.serve(x)
		return true
	}
	if !c.queued.CompareAndSwap(nil, x) {
		return false
	}
	c.serveQueued()
	return true
}

// release removes an exchange whose response is complete, and serves the queued
// one.
func (c *connection) release(x *Exchange) {
	if c.current.CompareAndSwap(x, nil) {
		c.serveQueued()
	}
}

// abort removes an exchange and the queued one before the connection is closed,
// so that the handler is not told of the disconnect.
func (c *connection) abort(x *Exchange) {
	c.queued.Store(nil)
	c.current.CompareAndSwap(x, nil)
}

// serveQueued serves the queued exchange if there is no current one.
func (c *connection) serveQueued() {
	if c.current.Load() != nil {
		return
	}
	if x := c.queued.Swap(nil); x != nil {
		c.current.Store(x)
		c.serve(x)
	}
}

// serve clears the idle timeout and passes an exchange to the handler.
func (c *connection) serve(x *Exchange) {
	_ = x.conn.SetReadDeadline(time.Time{})
	c.handler.Serve(x)
}
