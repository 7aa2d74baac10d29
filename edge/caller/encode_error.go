package caller

// EncodeError reports a value that can't be encoded as JSON.
type EncodeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return "can't encode: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error {
	return e.Err
}
