package httpc

// NotSentError reports that no byte of a request has left this process, so that
// it is safe to send it again.
type NotSentError struct {
	// Address is the address of the server.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "request to " + e.Address + " was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}
