package collect

import "net/http"

// Answer is a whole answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the fields of the answer.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
