package httpc

import (
	"net"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *connection) UnderlayerConn() net.Conn {
	return c.conn
}

// CloseAndClean implements nbhttp.ParserCloser.
func (c *connection) CloseAndClean(err error) {
	c.parser.CloseAndClean(err)
}

// Parse implements nbhttp.ParserCloser: it handles received bytes, on the poller. A head
// counts only when it is complete, so that a connection that ends within a head has no
// response. An error closes the connection.
func (c *connection) Parse(data []byte) error {
	if c.current.CompareAndSwap(nil, noCall) {
		return c.unsolicited()
	}
	call := c.current.Load()
	if call == noCall {
		return &ClosedError{}
	}
	if err := c.receive(len(data)); err != nil {
		return err
	}
	for len(data) > 0 && !c.complete {
		rest, err := c.parseNext(data, call)
		if err != nil {
			return err
		}
		data = rest
	}
	if !c.complete {
		return nil
	}
	return c.finish(call, len(data) > 0)
}

// parseNext handles the next part of a response, and returns the bytes that follow it.
func (c *connection) parseNext(data []byte, call *Call) ([]byte, error) {
	if c.body != nil {
		return c.body.read(data)
	}
	head, rest, err := c.head.Take(data)
	if head == nil {
		return nil, err
	}
	return rest, c.readHead(head, call)
}

// readHead handles a complete head. It fails if the head is malformed or belongs to the
// response to another request.
func (c *connection) readHead(text []byte, call *Call) error {
	head, err := http1.ParseResponseHead(text, call.Method)
	if err != nil {
		return err
	}
	if head.IsInterim() {
		return nil
	}
	c.response = head
	c.headDelivered = false
	c.headComplete = true
	c.releaseUnparsed()
	if timeout, ok := head.KeepAliveTimeout(); ok {
		c.keepAliveTimeout = timeout
	}
	if err := c.checkEcho(call); err != nil {
		return err
	}
	return c.beginBody(head.Framing)
}

// beginBody prepares for the body of a response, or ends the response if it has none.
func (c *connection) beginBody(f http1.Framing) (err error) {
	switch f.Kind {
	case http1.NoBody:
		c.endResponse()
	case http1.SizedBody:
		c.body, err = newSizedBody(c.parser, f.Length)
	case http1.ChunkedBody:
		c.body, err = newChunkedBody(c.parser)
	case http1.CloseDelimitedBody:
		c.closeDelimited = true
		c.body = &closeDelimitedBody{connection: c}
	}
	return err
}

// deliverBody passes a part of the body to the sink of the current call.
func (c *connection) deliverBody(data []byte) error {
	c.releaseUnparsed()
	call := c.current.Load()
	if call == nil || call == noCall {
		return nil
	}
	c.deliverHead(call)
	return call.Sink.Body(data)
}

// endResponse notes that the response is complete.
func (c *connection) endResponse() {
	c.releaseUnparsed()
	c.headComplete = false
	c.body = nil
	c.complete = true
}

// receive counts received bytes before they are parsed. It fails with a *http1.SizeError
// if a server sends more than any part of a response may have, and with a
// *bytelimit.ExceededError if all connections together keep too much.
func (c *connection) receive(bytes int) error {
	if err := c.budget.Take(bytes, int(c.unparsed.Load())); err != nil {
		return err
	}
	unparsed := c.unparsed.Add(int64(bytes))
	switch {
	case !c.headComplete && unparsed > MaxHeadBytes:
		return &http1.SizeError{Part: http1.HeadPart, Limit: MaxHeadBytes}
	case unparsed > MaxChunkBytes+MaxHeadBytes:
		return &http1.SizeError{Part: http1.BodyPart, Limit: MaxChunkBytes}
	default:
		return nil
	}
}

// releaseUnparsed starts to count the next part of a response.
func (c *connection) releaseUnparsed() {
	c.budget.Release(int(c.unparsed.Swap(0)))
}

// finish reports a complete response, and hands the connection on for reuse unless the
// call is exclusive, or the server is about to close it or has sent more than the response.
func (c *connection) finish(call *Call, hasSurplus bool) error {
	c.complete = false
	closeAfter := c.response.EndsConnection() || call.Exclusive
	if !c.current.CompareAndSwap(call, nil) {
		return nil
	}
	c.deliverHead(call)
	if hasSurplus || closeAfter {
		call.Sink.Done()
		return c.endAfterResponse(hasSurplus)
	}
	// A request that the caller sends next finds the connection in the pool.
	c.onIdle(c)
	call.Sink.Done()
	return nil
}

// endAfterResponse returns why a connection is not reused.
func (c *connection) endAfterResponse(hasSurplus bool) error {
	if hasSurplus {
		return c.unsolicited()
	}
	return &ClosedError{}
}

// unsolicited reports bytes that belong to no request. The error it returns closes the
// connection: what follows could be taken for the response to the next request.
func (c *connection) unsolicited() error {
	if c.onUnsolicited != nil {
		c.onUnsolicited(c.address)
	}
	return &UnsolicitedError{Address: c.address}
}
