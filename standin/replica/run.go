package replica

import "net/http"

// Run records one request that was run.
type Run struct {
	// ID is the request ID that the caller chose.
	ID string
	// Header is the header as it was received.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Path is the path of the request.
	Path string
}

// Customer returns the customer that the gateway has named in the request.
func (r Run) Customer() string { return r.Header.Get("Tenant") }

// Credential returns the caller's credential. It should be empty, because the
// gateway must not pass credentials on.
func (r Run) Credential() string { return r.Header.Get("Credential") }
