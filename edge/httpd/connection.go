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
	// open holds the exchanges that have not ended; nil if there are none.
	open atomic.Pointer[turns]
}

// Close implements nbhttp.Processor. It is called once, when the connection is
// closed.
func (c *connection) Close(parser *nbhttp.Parser, err error) {
	if t := c.open.Swap(nil); t != nil {
		c.handler.Disconnected(t.current)
	}
	c.ServerProcessor.Close(parser, err)
}

// isBusy reports whether an exchange has not ended.
func (c *connection) isBusy() bool {
	return c.open.Load() != nil
}

// serveOrQueue serves an exchange at once, or queues it until the current one
// ends. It returns false if another one is queued already.
func (c *connection) serveOrQueue(x *Exchange) bool {
	for {
		old := c.open.Load()
		switch {
		case old == nil:
			if c.open.CompareAndSwap(nil, &turns{current: x}) {
				c.serve(x)
				return true
			}
		case old.queued != nil:
			return false
		default:
			if c.open.CompareAndSwap(old, &turns{current: old.current, queued: x}) {
				return true
			}
		}
	}
}

// release removes an exchange whose response is complete, and serves the queued
// one.
func (c *connection) release(x *Exchange) {
	for {
		old := c.open.Load()
		if old == nil || old.current != x {
			return
		}
		var next *turns
		if old.queued != nil {
			next = &turns{current: old.queued}
		}
		if !c.open.CompareAndSwap(old, next) {
			continue
		}
		if next != nil {
			c.serve(next.current)
		}
		return
	}
}

// abort removes an exchange and the queued one before the connection is closed,
// so that the handler is not told of the disconnect.
func (c *connection) abort(x *Exchange) {
	for {
		old := c.open.Load()
		if old == nil || old.current != x || c.open.CompareAndSwap(old, nil) {
			return
		}
	}
}

// serve clears the idle timeout and passes an exchange to the handler.
func (c *connection) serve(x *Exchange) {
	_ = x.conn.SetReadDeadline(time.Time{})
	c.handler.Serve(x)
}
