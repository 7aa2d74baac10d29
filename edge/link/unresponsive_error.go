package link

// UnresponsiveError reports a link that was closed by Links.Drop.
type UnresponsiveError struct {
	// ID is the ID of the peer.
	ID string
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return e.ID + " is unresponsive"
}
