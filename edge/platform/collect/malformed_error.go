package collect

// MalformedError reports a response that can't be decoded.
type MalformedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed answer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Err
}
