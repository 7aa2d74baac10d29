package pollers

// StartError reports that the pollers could not be seen to run.
type StartError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartError) Error() string {
	return "pollers did not start: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
