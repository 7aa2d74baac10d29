package httpc

// NotSentError reports that no byte of a request has left this process.
type NotSentError struct {
	// Address is where the request was to go.
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
