package plan

// EncodeError reports that a plan has no encoding.
type EncodeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return "plan can't be encoded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error {
	return e.Err
}
