package httpd

// ListenError reports that an address can't be listened on.
type ListenError struct {
	// Address is the address as it was given.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "can't listen on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Err
}
