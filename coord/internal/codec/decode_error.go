package codec

// DecodeError reports that the value of a row can't be decoded.
type DecodeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "value of a row can't be decoded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Err
}
