package client

import "net/http"

// Reply is the reply of a plain service.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
