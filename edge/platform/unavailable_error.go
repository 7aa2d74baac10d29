package platform

// UnavailableError reports that a service refused a call or was never reached.
// The call surely did nothing.
type UnavailableError struct {
	// Service names the service.
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
