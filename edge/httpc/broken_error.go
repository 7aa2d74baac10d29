package httpc

// BrokenError reports that the answer to a request which may have been sent
// did not become whole. The server may or may not have acted on the request.
type BrokenError struct {
	// Address is where the request went.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return "call to " + e.Address + " broke off: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error {
	return e.Err
}
