package httpd

// ListenError reports that the server could not listen on an address.
type ListenError struct {
	// Address is the address as configured.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Err
}
