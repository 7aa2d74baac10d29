package caller

import (
	"net/http"
	"time"
)

// ServiceCall is a call of a plain service, to /v1/services/{name}/ and below.
type ServiceCall struct {
	// Credential is the bearer token of the caller; empty if it sent none.
	Credential string
	// Key is the value of the header Idempotency-Key; it may be empty.
	Key string
	// Service is the name of the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path after the name of the service, with the query string.
	Path string
	// Header holds the headers to forward to the service.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline is the time limit of the whole call; 0 selects the service's own.
	Deadline time.Duration
}

func (*ServiceCall) isMessage() {}
