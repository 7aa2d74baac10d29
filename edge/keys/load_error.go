package keys

// LoadError reports a certificate or key file that can't be used.
type LoadError struct {
	// File is the path of the file.
	File string
	// Err is the cause, nil if the file contains no valid certificate.
	Err error
}

// Error implements error.
func (e *LoadError) Error() string {
	if e.Err == nil {
		return "load " + e.File + ": contains no valid PEM certificate"
	}
	return "load " + e.File + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }
