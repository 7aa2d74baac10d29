package httpd

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

// MalformedError reports that the bytes of a client are not a valid HTTP request, or not
// one that the server serves.
type MalformedError struct {
	// Remote is the address of the client.
	Remote string
	// Err is the cause, an error of package http1.
	Err error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed HTTP request from " + e.Remote + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// Status returns the status code of the response to the client.
func (e *MalformedError) Status() int {
	var size *http1.SizeError
	var coding *http1.CodingError
	var method *http1.MethodError
	var version *http1.VersionError
	switch {
	case errors.As(e.Err, &size):
		return sizeStatus(size.Part)
	case errors.As(e.Err, &coding), errors.As(e.Err, &method):
		return http.StatusNotImplemented
	case errors.As(e.Err, &version):
		return http.StatusHTTPVersionNotSupported
	default:
		return http.StatusBadRequest
	}
}

// sizeStatus returns the status code for a part of a request that is too large.
func sizeStatus(part http1.Part) int {
	switch part {
	case http1.RequestLinePart:
		return http.StatusRequestURITooLong
	case http1.HeadPart, http1.TrailerPart:
		return http.StatusRequestHeaderFieldsTooLarge
	case http1.BodyPart:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

// response returns a complete response that asks the client to close the
// connection.
func (e *MalformedError) response() []byte {
	status := e.Status()
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
