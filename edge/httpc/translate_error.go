package httpc

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// translateError converts an error of nbio into an error type of this package
// where there is one.
func translateError(err error, call *Call) error {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return &ClosedError{}
	case errors.Is(err, nbio.ErrReadTimeout), errors.Is(err, nbio.ErrWriteTimeout):
		return &TimeoutError{Limit: call.Timeout}
	default:
		return err
	}
}
