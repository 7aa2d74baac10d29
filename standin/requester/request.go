package requester

import (
	"net/http"
	"strconv"
	"time"
)

// Request is what a caller says of a request.
type Request struct {
	// ID names the request over all its attempts.
	ID string
	// Credential is the key of a customer.
	Credential string
	// Customer is the name that the caller claims; empty claims none.
	Customer string
	// Left is the time within which the caller wants the whole answer.
	Left time.Duration
}

// Set sets the fields of a request.
func (r Request) Set(header http.Header) {
	header.Set("Attempt-Id", r.ID)
	header.Set("Deadline-Ms", strconv.FormatInt(r.Left.Milliseconds(), 10))
	header.Set("Credential", r.Credential)
	if r.Customer != "" {
		header.Set("Tenant", r.Customer)
	}
}

// Receipt returns what an upstream has signed an answer with; empty if none did.
func Receipt(header http.Header) string {
	return header.Get("Response-Seal")
}
