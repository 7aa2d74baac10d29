package httpc

import (
	"net"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// dial queues a call at the dialer with the fewest pending connections.
func (c *Client) dial(call *Call) {
	d := &pendingDial{call: call, deadline: time.Now().Add(c.config.ConnectTimeout)}
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
	c.pendingDials = append(c.pendingDials, d)
}

// addConnection registers a new connection with the pollers. The parser is set
// first, because a poller may read from the connection as soon as it is
// registered. It is called on the thread of a dialer.
func (c *Client) addConnection(netConn net.Conn, address string) (*connection, error) {
	raw, err := nbio.NBConn(netConn)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn := &connection{address: address, number: c.lastNumber.Add(1), conn: raw, onIdle: c.release, onUnsolicited: c.config.OnUnsolicited, budget: c.config.Budget}
	conn.parser = nbhttp.NewParser(raw, c.engine, &bodyEvents{connection: conn}, true, nil)
	raw.SetSession(conn)
	raw.OnData(c.engine.DataHandler)
	c.reader.countConn()
	if _, err := c.engine.AddConn(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// onDialed sends the call of a completed dial, or fails it. A connection whose
// call has ended in the meantime goes to the pool.
func (c *Client) onDialed(result *dialResult) {
	d := result.dial
	result.dialer.pending--
	switch {
	case result.err != nil:
		d.fail(translateError(result.err, d.call))
	case d.call.canceled:
		d.fail(&CanceledError{})
		c.putIdle(result.conn)
	case !d.ended.CompareAndSwap(false, true):
		// expireDials has already failed the call.
		c.putIdle(result.conn)
	case !c.send(result.conn, d.call):
		d.call.Sink.Failed(&NotSentError{Address: d.call.Address, Err: &ClosedError{}})
	}
}

// expireDials fails the calls whose connections were not established in time,
// and returns the time until the next deadline.
func (c *Client) expireDials(now time.Time) time.Duration {
	for len(c.pendingDials) > 0 {
		d := c.pendingDials[0]
		if !d.ended.Load() && now.Before(d.deadline) {
			return d.deadline.Sub(now)
		}
		c.pendingDials[0] = nil
		c.pendingDials = c.pendingDials[1:]
		d.fail(&TimeoutError{Limit: c.config.ConnectTimeout})
	}
	return idleWait
}
