package collect

import "strconv"

// TooLargeError reports a response whose body exceeds the limit. The server has
// already handled the request.
type TooLargeError struct {
	// LimitBytes is the maximum size of the body in bytes.
	LimitBytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "answer is longer than " + strconv.Itoa(e.LimitBytes) + " bytes"
}
