package keys

// IssueError reports that a key or certificate could not be created.
type IssueError struct {
	// Subject is the common name of the certificate.
	Subject string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *IssueError) Error() string {
	return "issue a certificate for " + e.Subject + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *IssueError) Unwrap() error { return e.Err }
