package httpc_test

import "net"

// countedConn is a connection that an openCounter counts until a read fails.
type countedConn struct {
	net.Conn
	counter *openCounter
	ended   bool
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.ended {
		c.ended = true
		c.counter.open.Add(-1)
	}
	return n, err
}
