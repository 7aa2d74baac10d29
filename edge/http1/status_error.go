package http1

import "strconv"

// StatusError is the cause when the status of a response is none that it can have.
type StatusError struct {
	// Status is the status received, 0 to 999.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "no response has the status " + strconv.Itoa(e.Status)
}
