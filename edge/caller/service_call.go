package caller

import (
	"net/http"
	"time"
)

// ServiceCall is a call of a plain service, under /v1/services/{name}/.
type ServiceCall struct {
	// Credential is the caller's proof of who it is.
	Credential string
	// Key names the call, from the field Idempotency-Key; it may be empty.
	Key string
	// Service names the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path after the name of the service, with the query.
	Path string
	// Header holds the fields to be passed on.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline is the time for the whole call; 0 takes that of the service.
	Deadline time.Duration
}

func (*ServiceCall) isMessage() {}
