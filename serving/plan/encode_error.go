package plan

// EncodeError reports that a plan can't be encoded as JSON.
type EncodeError struct {
	// Err is the encoder's error.
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return "plan can't be encoded: " + e.Err.Error()
}

// Unwrap returns the encoder's error.
func (e *EncodeError) Unwrap() error {
	return e.Err
}
