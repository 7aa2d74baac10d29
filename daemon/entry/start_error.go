package entry

// StartError reports that a part of the process can't be started.
type StartError struct {
	// Part names the part.
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
