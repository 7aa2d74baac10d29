package link

// ShutdownError reports a link that ended because one side called Links.Close.
type ShutdownError struct {
	// Remote is true if the peer did so.
	Remote bool
}

// Error implements error.
func (e *ShutdownError) Error() string {
	if e.Remote {
		return "the peer has shut down"
	}
	return "links closed"
}
