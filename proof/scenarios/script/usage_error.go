package script

// UsageError reports a command with wrong arguments.
type UsageError struct {
	// Usage is how it is written.
	Usage string
}

// Error implements error.
func (e *UsageError) Error() string {
	return "usage: " + e.Usage
}
