package link

// ReleasedError reports a link that one side closed because it no longer needs
// it.
type ReleasedError struct {
	// Remote is true if the peer closed the link.
	Remote bool
}

// Error implements error.
func (e *ReleasedError) Error() string {
	if e.Remote {
		return "link released by the peer"
	}
	return "link released"
}
