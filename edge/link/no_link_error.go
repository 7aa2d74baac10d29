package link

// NoLinkError reports a message to a process that there is no link to. The
// message was not sent.
type NoLinkError struct {
	// ID names the process.
	ID string
}

// Error implements error.
func (e *NoLinkError) Error() string {
	return "no link to " + e.ID
}
