package httpc

// StrayError is the cause when an answer does not belong to the request for
// which it came.
type StrayError struct {
	// Field is the field that should have been repeated.
	Field string
	// Want is its value in the request.
	Want string
	// Got is its value in the answer.
	Got string
}

// Error implements error.
func (e *StrayError) Error() string {
	return "answer of another request: " + e.Field + " is " + e.Got + ", not " + e.Want
}
