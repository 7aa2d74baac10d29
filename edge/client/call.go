package client

import (
	"net/http"
	"time"
)

// Call is a call of a plain service.
type Call struct {
	// Key identifies the call. It is required if the call must run at most once.
	Key string
	// Idempotent means that the call may be sent again after a broken connection.
	Idempotent bool
	// Service is the name of the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path at the service, with the query string.
	Path string
	// Header holds the headers of the call; it may be nil.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline is the time limit of the call.
	Deadline time.Duration
}
