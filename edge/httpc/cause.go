package httpc

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// causeOf gives the failure of the network library one of our types.
func causeOf(err error, call *Call) error {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return &ClosedError{}
	case errors.Is(err, nbio.ErrReadTimeout), errors.Is(err, nbio.ErrWriteTimeout):
		return &TimeoutError{Limit: call.Timeout}
	default:
		return err
	}
}
