package httpc

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
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
	// freed is when the last answer ended; the duty owns it.
	freed time.Time
	// keepFor is how long the server keeps the connection unused; 0 if it did
	// not say. It is written before the connection is freed.
	keepFor time.Duration

	status    int
	header    http.Header
	announced bool
	last      bool
	chunked   bool
	// open is true for a body that ends with the connection.
	open bool
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
	c.chunked = false
	c.open = false
}

// OnHeader implements nbhttp.Processor.
func (c *connection) OnHeader(_ *nbhttp.Parser, key, value string) {
	c.header.Add(key, value)
	switch key {
	case "Connection":
		c.last = c.last || strings.EqualFold(value, "close")
	case "Keep-Alive":
		c.keepFor = keepAlive(value)
	case "Transfer-Encoding":
		c.chunked = true
	}
}

// OnContentLength implements nbhttp.Processor. It comes before the end of the
// head. A body with neither a length nor chunks ends with the connection.
func (c *connection) OnContentLength(_ *nbhttp.Parser, length int) {
	hasBody := c.status >= 200 && c.status != http.StatusNoContent && c.status != http.StatusNotModified
	c.open = length < 0 && !c.chunked && hasBody
}

// OnBody implements nbhttp.Processor.
func (c *connection) OnBody(_ *nbhttp.Parser, data []byte) error {
	call := c.current.Load()
	if call == nil {
		return nil
	}
	if err := c.announce(call); err != nil {
		return err
	}
	call.Sink.Body(data)
	return nil
}

// OnTrailerHeader implements nbhttp.Processor.
func (c *connection) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (c *connection) OnComplete(parser *nbhttp.Parser) {
	if c.open {
		// The parser takes the end of the head for the end of the answer. What
		// follows is read as it comes.
		parser.ParserCloser = &openBody{connection: c}
		return
	}
	call := c.current.Load()
	if call == nil {
		_ = c.conn.Close()
		return
	}
	if c.status < 200 {
		return
	}
	if err := c.announce(call); err != nil {
		_ = c.conn.CloseWithError(err)
		return
	}
	if !c.current.CompareAndSwap(call, nil) {
		return
	}
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
	if !c.open {
		call.Sink.Failed(&BrokenError{Address: c.address, Err: causeOf(err, call)})
		return
	}
	c.closeOpen(call, err)
}

// closeOpen ends an answer whose body ends with the connection. It is whole only
// if the reader has come to an ordinary end.
func (c *connection) closeOpen(call *Call, err error) {
	var ended *ClosedError
	cause := causeOf(err, call)
	if errors.As(err, &ended) {
		cause = c.announce(call)
	}
	if cause != nil {
		call.Sink.Failed(&BrokenError{Address: c.address, Err: &TruncatedError{Err: cause}})
		return
	}
	call.Sink.Done()
}

// Clean implements nbhttp.Processor.
func (c *connection) Clean(*nbhttp.Parser) {}

// announce gives the sink the head, once. It fails with a *StrayError when the
// answer is not that of the call.
func (c *connection) announce(call *Call) error {
	if c.announced {
		return nil
	}
	if call.Echo != "" {
		want, got := call.Header.Get(call.Echo), c.header.Get(call.Echo)
		if want != got {
			return &StrayError{Field: call.Echo, Want: want, Got: got}
		}
	}
	c.announced = true
	call.Sink.Head(c.status, c.header)
	return nil
}

// isClosed reports whether the connection has ended.
func (c *connection) isClosed() bool {
	closed, _ := c.conn.IsClosed()
	return closed
}

// isStale reports whether the server may be about to close the unused
// connection.
func (c *connection) isStale(now time.Time) bool {
	return c.keepFor > 0 && now.Sub(c.freed) > c.keepFor*4/5
}

// keepAlive reads the timeout of a Keep-Alive field; 0 if there is none.
func keepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
