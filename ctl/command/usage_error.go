package command

// UsageError reports missing or invalid arguments.
type UsageError struct {
	// Problem describes the error.
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Problem
}
