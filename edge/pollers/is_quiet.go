package pollers

import (
	"syscall"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// IsQuiet reports whether a connection is open and nothing has arrived on it that is
// not read yet, neither bytes nor the end. It may be called from any thread; what is
// being handled by the poller meanwhile does not count.
func IsQuiet(c *nbio.Conn) bool {
	var next [1]byte
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return false
	}
	_, _, err := syscall.Recvfrom(c.Hash(), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}
