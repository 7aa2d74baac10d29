package httpd

import (
	"sync/atomic"

	"github.com/lesismal/nbio/nbhttp"
)

// connection is the parser's view of one caller's connection: the library's
// server processor, and the exchange that is open on it.
type connection struct {
	*nbhttp.ServerProcessor
	handler Handler
	open    atomic.Pointer[Exchange]
}

// Close implements nbhttp.Processor. It is called once, at the end of the
// connection.
func (c *connection) Close(parser *nbhttp.Parser, err error) {
	if x := c.open.Swap(nil); x != nil {
		c.handler.Gone(x)
	}
	c.ServerProcessor.Close(parser, err)
}
