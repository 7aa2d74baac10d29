package pollers

import (
	"syscall"

	"github.com/lesismal/nbio"
)

// PendingError returns what has happened to a connection and was not reported by a call
// yet, as a syscall.Errno, and clears it; nil if nothing has. A reset that arrives after
// the peer's end is told only here: reads report the end. It may be called from any
// thread.
func PendingError(c *nbio.Conn) error {
	c.Lock()
	defer c.Unlock()
	if closed, _ := c.IsClosed(); closed {
		return nil
	}
	code, err := syscall.GetsockoptInt(c.Hash(), syscall.SOL_SOCKET, syscall.SO_ERROR)
	switch {
	case err != nil:
		return err
	case code != 0:
		return syscall.Errno(code)
	default:
		return nil
	}
}
