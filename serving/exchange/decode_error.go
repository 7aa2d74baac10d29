package exchange

// DecodeError reports a message that can't be decoded.
type DecodeError struct {
	// Message names the kind of message.
	Message string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "invalid " + e.Message + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Err
}
