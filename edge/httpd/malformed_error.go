package httpd

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// MalformedError reports that the bytes of a client are not a valid HTTP request.
type MalformedError struct {
	// Remote is the address of the client.
	Remote string
	// Err is the error of the parser.
	Err error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed HTTP request from " + e.Remote + ": " + e.Err.Error()
}

// Unwrap returns the error of the parser.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// Status returns the status code of the response to the client.
func (e *MalformedError) Status() int {
	if errors.Is(e.Err, nbhttp.ErrTooLong) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// response returns a complete response that asks the client to close the
// connection.
func (e *MalformedError) response() []byte {
	status := e.Status()
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
