package httpd

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// MalformedError reports bytes of a caller that are no HTTP request.
type MalformedError struct {
	// Remote is the caller's address.
	Remote string
	// Err is the parser's complaint.
	Err error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "no HTTP request from " + e.Remote + ": " + e.Err.Error()
}

// Unwrap returns the parser's complaint.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// Status is what the caller is answered.
func (e *MalformedError) Status() int {
	if errors.Is(e.Err, nbhttp.ErrTooLong) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// answer is a whole answer that ends the connection.
func (e *MalformedError) answer() []byte {
	status := e.Status()
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
