package http1

// MalformedHeadError is the cause when the head of a message is not a single valid
// first line with fields.
type MalformedHeadError struct {
	// Detail says what is wrong.
	Detail string
}

// Error implements error.
func (e *MalformedHeadError) Error() string {
	return "malformed head: " + e.Detail
}
