package httpc

// TruncatedError is the cause when the connection failed during a
// close-delimited body, so that the end of the body may be missing.
type TruncatedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return "body may lack its end: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error {
	return e.Err
}
