package platform

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// ClassifyWriteError wraps the error of an HTTP call that may change something. It
// returns an *UnavailableError if nothing was sent, and otherwise an
// *OutcomeUnknownError.
func ClassifyWriteError(service string, err error) error {
	var notSent *httpc.NotSentError
	if errors.As(err, &notSent) {
		return &UnavailableError{Service: service, Err: err}
	}
	return &OutcomeUnknownError{Service: service, Err: err}
}

// ClassifyReadError wraps the error of a call that changes nothing in an
// *UnavailableError.
func ClassifyReadError(service string, err error) error {
	return &UnavailableError{Service: service, Err: err}
}
