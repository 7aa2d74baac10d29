package collect

import "net/http"

// Response is a complete HTTP response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the complete body.
	Body []byte
}
