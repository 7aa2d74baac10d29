package httpd

// DisconnectedError reports that a write to the client failed, usually because
// its connection is closed.
type DisconnectedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DisconnectedError) Error() string {
	return "write to client: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DisconnectedError) Unwrap() error {
	return e.Err
}
