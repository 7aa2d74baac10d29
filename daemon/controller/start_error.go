package controller

// StartError reports that a part of the controller failed to start.
type StartError struct {
	// Part is the part that failed.
	Part string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartError) Error() string {
	return e.Part + " failed to start: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
