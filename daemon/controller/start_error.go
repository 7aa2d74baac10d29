package controller

// StartError reports that a part of the controller can't start.
type StartError struct {
	// Part is what can't start.
	Part string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartError) Error() string {
	return e.Part + " can't start: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
