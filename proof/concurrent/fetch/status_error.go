package fetch

import "fmt"

// StatusError reports an answer that is no success.
type StatusError struct {
	// Address is the server.
	Address string
	// Path is what was asked for.
	Path string
	// Status is the HTTP status.
	Status int
	// Body is the answer.
	Body string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s%s: status %d: %s", e.Address, e.Path, e.Status, e.Body)
}
