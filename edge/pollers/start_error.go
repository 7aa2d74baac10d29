package pollers

// StartError reports that Await could not confirm that all pollers are running.
type StartError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StartError) Error() string {
	return "wait for pollers to start: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error {
	return e.Err
}
