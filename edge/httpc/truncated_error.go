package httpc

// TruncatedError is the cause when a body without a length ended by an error of
// its connection, so that it may lack its end.
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
