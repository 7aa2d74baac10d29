package requester

import (
	"net/http"
	"strconv"
	"time"
)

// RequestHeader holds the header fields that a caller sends with a request.
type RequestHeader struct {
	// ID identifies the request. All attempts at it have the same ID.
	ID string
	// Credential is the API key of a customer.
	Credential string
	// Customer is the name of the customer that the caller claims to be. If it is
	// empty, the field is not sent.
	Customer string
	// Timeout is the time within which the caller wants the complete response.
	Timeout time.Duration
}

// SetHeader sets the fields in the header of a request.
func (r RequestHeader) SetHeader(header http.Header) {
	header.Set("Attempt-Id", r.ID)
	header.Set("Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	header.Set("Credential", r.Credential)
	if r.Customer != "" {
		header.Set("Tenant", r.Customer)
	}
}

// ResponseSeal returns the field with which an upstream has signed a response. It
// is empty if no upstream has signed it.
func ResponseSeal(header http.Header) string {
	return header.Get("Response-Seal")
}
