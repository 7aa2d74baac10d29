package http1

// MalformedChunkError is the cause when the chunks of a body, or the trailer
// after them, are not framed as RFC 9112 says.
type MalformedChunkError struct {
	// Detail says what is wrong.
	Detail string
}

// Error implements error.
func (e *MalformedChunkError) Error() string {
	return "malformed chunk: " + e.Detail
}
