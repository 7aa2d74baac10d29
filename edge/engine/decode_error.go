package engine

// DecodeError reports an answer of an upstream that is not valid JSON of the
// expected form.
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
