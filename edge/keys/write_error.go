package keys

// WriteError reports a file that could not be written.
type WriteError struct {
	// File is the path of the file.
	File string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *WriteError) Error() string {
	return "write " + e.File + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Err }
