package platform

// OutcomeUnknownError reports a call whose outcome is unknown, for example because
// the response was lost. The service may have executed the call, or may still
// execute it.
type OutcomeUnknownError struct {
	// Service is the name of the service.
	Service string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return "outcome of a call to " + e.Service + " is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Err
}
