package link

// ListenError reports that the socket could not be opened.
type ListenError struct {
	// Address is the address to listen on.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
