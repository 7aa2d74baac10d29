package httpc

import (
	"syscall"

	"github.com/go-faster/errors"
)

// IsDisconnect reports whether a call failed because the server closed or reset its
// connection after the request was sent.
func IsDisconnect(err error) bool {
	var incomplete *IncompleteError
	if !errors.As(err, &incomplete) {
		return false
	}
	var closed *ClosedError
	return errors.As(err, &closed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
