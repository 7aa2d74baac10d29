package cloud

// RefusedError reports an invalid call. Nothing was changed, and the same call
// would be rejected again.
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
