package controller

// StartRefusedError reports that the cloud refused to start an instance and
// started none.
type StartRefusedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartRefusedError) Error() string {
	return "start refused: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartRefusedError) Unwrap() error {
	return e.Err
}
