package platform

// UnknownError reports that the answer to a call was lost: the call may have
// been carried out, or may still be.
type UnknownError struct {
	// Service names the service.
	Service string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "outcome of a call to " + e.Service + " is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
