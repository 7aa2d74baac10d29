package engine

// DecodeError reports an answer of an upstream that can't be understood.
type DecodeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "can't decode the upstream's answer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Err
}
