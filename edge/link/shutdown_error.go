package link

// ShutdownError reports a link whose process has closed all of its links.
type ShutdownError struct {
	// Remote is true when the peer did so.
	Remote bool
}

// Error implements error.
func (e *ShutdownError) Error() string {
	if e.Remote {
		return "the peer has shut down"
	}
	return "links closed"
}
