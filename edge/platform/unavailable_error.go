package platform

// UnavailableError reports that a service could not be reached or rejected a call.
// The call is certain to have changed nothing.
type UnavailableError struct {
	// Service is the name of the service.
	Service string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return e.Service + " unavailable: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
