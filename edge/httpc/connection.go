package httpc

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// connection decodes the answers that arrive on one connection. The duty of
// the client sets current; the poller clears it at the end of the answer, and
// whoever clears it tells the sink.
//
// It implements nbhttp.Processor. The parser calls its methods one at a time.
type connection struct {
	address string
	conn    *nbio.Conn
	current atomic.Pointer[Call]
	onFree  func(*connection)

	status    int
	header    http.Header
	announced bool
	last      bool
}

// OnMethod implements nbhttp.Processor.
func (c *connection) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (c *connection) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto implements nbhttp.Processor.
func (c *connection) OnProto(*nbhttp.Parser, string) error { return nil }

// OnStatus implements nbhttp.Processor.
func (c *connection) OnStatus(_ *nbhttp.Parser, code int, _ string) {
	c.status = code
	c.header = http.Header{}
	c.announced = false
	c.last = false
}

// OnHeader implements nbhttp.Processor.
func (c *connection) OnHeader(_ *nbhttp.Parser, key, value string) {
	c.header.Add(key, value)
	if strings.EqualFold(key, "Connection") && strings.EqualFold(value, "close") {
		c.last = true
	}
}

// OnContentLength implements nbhttp.Processor.
func (c *connection) OnContentLength(*nbhttp.Parser, int) {}

// OnBody implements nbhttp.Processor.
func (c *connection) OnBody(_ *nbhttp.Parser, data []byte) error {
	call := c.current.Load()
	if call == nil {
		return nil
	}
	c.announce(call)
	call.Sink.Body(data)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor.
func (c *connection) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (c *connection) OnComplete(*nbhttp.Parser) {
	call := c.current.Swap(nil)
	if call == nil {
		_ = c.conn.Close()
		return
	}
	c.announce(call)
	last := c.last
	call.Sink.Done()
	if last {
		_ = c.conn.Close()
		return
	}
	c.onFree(c)
}

// Close implements nbhttp.Processor.
func (c *connection) Close(_ *nbhttp.Parser, err error) {
	call := c.current.Swap(nil)
	if call == nil {
		return
	}
	call.Sink.Failed(&BrokenError{Address: c.address, Err: causeOf(err, call)})
}

// Clean implements nbhttp.Processor.
func (c *connection) Clean(*nbhttp.Parser) {}

func (c *connection) announce(call *Call) {
	if c.announced {
		return
	}
	c.announced = true
	call.Sink.Head(c.status, c.header)
}

// isClosed reports whether the connection has ended.
func (c *connection) isClosed() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}
