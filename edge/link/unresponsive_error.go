package link

// UnresponsiveError reports a link that was closed at the request of Drop.
type UnresponsiveError struct {
	// ID names the peer.
	ID string
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return e.ID + " does not answer"
}
