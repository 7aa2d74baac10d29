package row

// UnknownError reports that the outcome of a write is unknown because the response
// was lost: the write may have taken effect, or may still do so.
type UnknownError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "outcome of the write is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
