package collect

import "strconv"

// StatusError reports a response with an error status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Code is the error code in the body, empty if it has none.
	Code string
	// Message is the error message in the body, empty if it has none.
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	text := "status " + strconv.Itoa(e.Status)
	if e.Code != "" {
		text += " " + e.Code
	}
	if e.Message != "" {
		text += ": " + e.Message
	}
	return text
}
