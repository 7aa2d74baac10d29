package platform

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// CallError gives the failure of an HTTP call its meaning: an
// *UnavailableError when nothing was sent, else an *UnknownError.
func CallError(service string, err error) error {
	var notSent *httpc.NotSentError
	if errors.As(err, &notSent) {
		return &UnavailableError{Service: service, Err: err}
	}
	return &UnknownError{Service: service, Err: err}
}

// ReadError gives the failure of a call that changes nothing its meaning.
func ReadError(service string, err error) error {
	return &UnavailableError{Service: service, Err: err}
}
