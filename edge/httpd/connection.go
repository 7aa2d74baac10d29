package httpd

import (
	"net/url"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

// continueResponse tells a client that waits to send the body of its request.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// connection reads the requests of one client connection. It holds the exchange that is
// being served and at most one pipelined exchange that waits for its end.
//
// The poller of the connection adds exchanges; the threads that reply remove them.
// connection implements nbhttp.ParserCloser.
type connection struct {
	server        *Server
	conn          *nbio.Conn
	handler       Handler
	remote, local string
	// reader and isOver belong to the poller. isOver is true after the last request:
	// further bytes are dropped.
	reader http1.RequestReader
	isOver bool
	// open holds the exchanges that have not ended; nil if there are none.
	open atomic.Pointer[turns]
}

func newConnection(s *Server, conn *nbio.Conn) *connection {
	return &connection{
		server: s, conn: conn, handler: s.handler,
		remote: conn.RemoteAddr().String(), local: conn.LocalAddr().String(),
	}
}

// disconnected tells the handler that the connection has ended. It is called once.
func (c *connection) disconnected() {
	if t := c.open.Swap(&turns{isOver: true}); t != nil && t.current != nil {
		c.handler.Disconnected(t.current)
	}
}

// Parse handles received bytes, on the poller. An error closes the connection.
func (c *connection) Parse(data []byte) error {
	for len(data) > 0 && !c.isOver {
		request, rest, err := c.reader.Next(data, c.server.limits())
		if err != nil {
			c.reject(err)
			return nil
		}
		data = rest
		if request == nil {
			continue
		}
		c.isOver = request.EndsConnection()
		if !c.serveOrQueue(c.newExchange(request)) {
			return &PipelineError{Remote: c.remote}
		}
	}
	if c.open.Load() == nil && c.reader.TakeContinue() {
		// A failed write closes the connection.
		_, _ = c.conn.Write([]byte(continueResponse))
	}
	return nil
}

func (c *connection) newExchange(r *http1.Request) *Exchange {
	x := &Exchange{
		Method:    r.Method,
		Host:      r.Host,
		Target:    r.Target.Text,
		Path:      r.Target.Path,
		RoutePath: r.Target.RoutePath,
		Header:    r.Header,
		Body:      r.Body,
		Remote:    c.remote,
		Local:     c.local,
		Arrived:   time.Now(),

		conn:        c.conn,
		state:       c,
		idleTimeout: c.server.config.IdleTimeout,
		isLast:      r.EndsConnection(),
	}
	if r.Target.Query != "" {
		// Parameters that can't be decoded are left out.
		x.Query, _ = url.ParseQuery(r.Target.Query)
	}
	return x
}

// reject ends the connection for bytes that are not a valid request: one response follows
// those to the requests before, and nothing further is read.
func (c *connection) reject(cause error) {
	c.isOver = true
	malformed := &MalformedError{Remote: c.remote, Err: cause}
	if c.server.config.OnMalformed != nil {
		c.server.config.OnMalformed(malformed)
	}
	for {
		old := c.open.Load()
		if old == nil {
			if c.open.CompareAndSwap(nil, &turns{isOver: true}) {
				c.writeRejection(malformed)
				return
			}
			continue
		}
		if old.isOver {
			return
		}
		if c.open.CompareAndSwap(old, &turns{current: old.current, queued: old.queued, rejection: malformed}) {
			return
		}
	}
}

// writeRejection sends the last response of the connection. The client closes it: closing
// with unread bytes would reset the connection, and the client might lose the response.
func (c *connection) writeRejection(malformed *MalformedError) {
	if _, err := c.conn.Write(malformed.response()); err != nil {
		// The failed write has closed the connection.
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// serveOrQueue serves an exchange at once, or queues it until the current one
// ends. It drops an exchange after the last one of the connection. It returns false if
// another one is queued already.
func (c *connection) serveOrQueue(x *Exchange) bool {
	for {
		old := c.open.Load()
		switch {
		case old == nil:
			if c.open.CompareAndSwap(nil, &turns{current: x}) {
				c.serve(x)
				return true
			}
		case old.isOver:
			return true
		case old.queued != nil:
			return false
		default:
			if c.open.CompareAndSwap(old, &turns{current: old.current, queued: x}) {
				return true
			}
		}
	}
}

// isFollowed reports whether another exchange waits for the end of one.
func (c *connection) isFollowed(x *Exchange) bool {
	t := c.open.Load()
	return t != nil && t.current == x && t.queued != nil
}

// release removes an exchange whose response is complete, and serves the queued
// one, or sends the response to what was no request.
func (c *connection) release(x *Exchange) {
	for {
		old := c.open.Load()
		if old == nil || old.current != x {
			return
		}
		next := old.after()
		if !c.open.CompareAndSwap(old, next) {
			continue
		}
		switch {
		case next == nil:
		case next.current != nil:
			c.serve(next.current)
		case next.rejection != nil:
			c.writeRejection(next.rejection)
		}
		return
	}
}

// abort removes an exchange and the queued one before the connection is closed,
// so that the handler is not told of the disconnect.
func (c *connection) abort(x *Exchange) {
	for {
		old := c.open.Load()
		if old == nil || old.current != x || c.open.CompareAndSwap(old, &turns{isOver: true}) {
			return
		}
	}
}

// serve clears the idle timeout and passes an exchange to the handler.
func (c *connection) serve(x *Exchange) {
	_ = x.conn.SetReadDeadline(time.Time{})
	c.handler.Serve(x)
}
