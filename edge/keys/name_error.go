package keys

// NameError reports a certificate that names no process.
type NameError struct {
	// Subject is the common name of the certificate.
	Subject string
}

// Error implements error.
func (e *NameError) Error() string {
	return "certificate of " + e.Subject + " names no process"
}
