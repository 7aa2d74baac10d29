package collect

import "strconv"

// TooLargeError reports an answer whose body is over the limit. The server has
// acted on the request.
type TooLargeError struct {
	// LimitBytes is the largest body allowed, in bytes.
	LimitBytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "answer is longer than " + strconv.Itoa(e.LimitBytes) + " bytes"
}
