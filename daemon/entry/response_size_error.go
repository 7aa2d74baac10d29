package entry

import "strconv"

// ResponseSizeError reports an upstream's response that is too large to be
// buffered.
type ResponseSizeError struct {
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *ResponseSizeError) Error() string {
	return "response exceeds " + strconv.Itoa(e.Limit) + " bytes"
}
