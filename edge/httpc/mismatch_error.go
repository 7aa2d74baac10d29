package httpc

import "strconv"

// MismatchError is the cause when a response belongs to another request than the
// one outstanding on its connection.
type MismatchError struct {
	// Field is the header field named by Call.EchoHeader.
	Field string
	// Want is its value in the request.
	Want string
	// Got is its value in the response, or a list of its values.
	Got string
	// Status is the status of the response.
	Status int
}

// Error implements error.
func (e *MismatchError) Error() string {
	return "response to another request: " + e.Field + " is " + e.Got + ", want " + e.Want + ", status " + strconv.Itoa(e.Status)
}
