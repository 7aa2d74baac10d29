package httpc

import (
	"net"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// dial makes a connection for a call.
func (c *Client) dial(call *Call) {
	d := &dialing{call: call, until: time.Now().Add(c.config.ConnectTimeout)}
	best := c.dialers[0]
	for _, other := range c.dialers[1:] {
		if other.pending < best.pending {
			best = other
		}
	}
	if err := best.inbox.Offer(d); err != nil {
		d.fail(err)
		return
	}
	best.pending++
	c.dialings = append(c.dialings, d)
}

// setUp gives a new connection to the pollers. The parser is set up before, so
// that no event finds it missing.
func (c *Client) setUp(made net.Conn, address string) (*connection, error) {
	raw, err := nbio.NBConn(made)
	if err != nil {
		_ = made.Close()
		return nil, err
	}
	conn := &connection{address: address, conn: raw, onFree: c.free}
	raw.SetSession(nbhttp.NewParser(raw, c.engine, conn, true, nil))
	raw.OnData(c.engine.DataHandler)
	c.reader.made()
	if _, err := c.engine.AddConn(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Client) connected(made *dialed) {
	d := made.dialing
	made.dialer.pending--
	switch {
	case made.err != nil:
		d.fail(causeOf(made.err, d.call))
	case d.call.canceled:
		d.fail(&CanceledError{})
		c.keep(made.conn)
	case !d.ended.CompareAndSwap(false, true):
		// The call was given up at the limit.
		c.keep(made.conn)
	case !c.send(made.conn, d.call):
		d.call.Sink.Failed(&NotSentError{Address: d.call.Address, Err: &ClosedError{}})
	}
}

// expireDials fails the calls whose connections were not made in time, and
// returns the time until the next limit.
func (c *Client) expireDials(now time.Time) time.Duration {
	for len(c.dialings) > 0 {
		d := c.dialings[0]
		if !d.ended.Load() && now.Before(d.until) {
			return d.until.Sub(now)
		}
		c.dialings[0] = nil
		c.dialings = c.dialings[1:]
		d.fail(&TimeoutError{Limit: c.config.ConnectTimeout})
	}
	return longestWait
}
