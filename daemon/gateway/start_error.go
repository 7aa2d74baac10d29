package gateway

// StartError reports that a part of a gateway could not be started.
type StartError struct {
	// Part is the name of the part.
	Part string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartError) Error() string {
	return "can't start the " + e.Part + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
