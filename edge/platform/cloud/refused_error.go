package cloud

// RefusedError reports a call that the cloud does not take as it is. Nothing
// was done, and the same call will be refused again.
type RefusedError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "cloud refused the call: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error {
	return e.Err
}
