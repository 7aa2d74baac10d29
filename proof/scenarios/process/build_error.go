package process

// BuildError reports programs that can't be built.
type BuildError struct {
	// Output is what the compiler said.
	Output string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *BuildError) Error() string {
	return "build: " + e.Err.Error() + ": " + e.Output
}

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }
