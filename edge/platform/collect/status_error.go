package collect

import "strconv"

// StatusError reports an answer with a status that says no.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Code is the error code of the body, empty if it has none.
	Code string
	// Message is the text of the body, empty if it has none.
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
