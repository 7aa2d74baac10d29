package keys

// NoIdentityError reports a peer or certificate without a process identity.
type NoIdentityError struct {
	// Subject is the common name of the certificate, or a description of the peer
	// if it presented no certificate.
	Subject string
}

// Error implements error.
func (e *NoIdentityError) Error() string {
	return "no process identity for " + e.Subject + ": no certificate URI of the form sycamore://ROLE/INSTANCE"
}
