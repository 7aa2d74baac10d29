package httpd

// GoneError reports that the caller's connection has ended or can't be written.
type GoneError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *GoneError) Error() string {
	return "caller is gone: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error {
	return e.Err
}
