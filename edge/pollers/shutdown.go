package pollers

import (
	"net"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Shutdown ends a connection from any thread but its poller: both directions are shut
// down at once, and the poller, which is told so, closes it.
//
// A close by another thread frees the descriptor while the poller may still have a
// notice of the peer's end to handle. nbio finds connections by their descriptors, so
// that the notice would close a new connection that has got the same one.
func Shutdown(conn net.Conn) {
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	c, ok := conn.(*nbio.Conn)
	if !ok {
		_ = conn.Close()
		return
	}
	// Whoever closes the connection marks it as closed under the lock before it frees
	// the descriptor.
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); !closed {
		_ = syscall.Shutdown(c.Hash(), syscall.SHUT_RDWR)
	}
}
