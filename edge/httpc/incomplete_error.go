package httpc

// IncompleteError reports that a request may have been sent, but that no
// complete response was received. The server may or may not have processed the
// request.
type IncompleteError struct {
	// Address is the address of the server.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return "call to " + e.Address + " broke off: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error {
	return e.Err
}
