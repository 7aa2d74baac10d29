package replica

import "net/http"

// Run is a request that was run.
type Run struct {
	// ID is the caller's name of the request.
	ID string
	// Header holds the fields as they arrived.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Target is the path that was asked for.
	Target string
}

// Customer is the customer that the system has named.
func (r Run) Customer() string { return r.Header.Get("Tenant") }

// Credential is the credential that came with it; empty if there was none.
func (r Run) Credential() string { return r.Header.Get("Credential") }
