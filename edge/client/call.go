package client

import (
	"net/http"
	"time"
)

// Call is a call of a plain service.
type Call struct {
	// Key names the call; needed for one that runs at most once.
	Key string
	// Idempotent calls may be sent again.
	Idempotent bool
	// Service names the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path at the service, with the query.
	Path string
	// Header holds fields to pass on; it may be nil.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline bounds the call.
	Deadline time.Duration
}
