package http1

// CodingError is the cause when a body has a transfer coding other than chunked.
type CodingError struct {
	// Coding is the value of the field Transfer-Encoding.
	Coding string
}

// Error implements error.
func (e *CodingError) Error() string {
	return "unknown transfer coding " + e.Coding
}
