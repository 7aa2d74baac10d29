package link

// ReplacedError reports a connection that gave way to another one between the
// same processes.
type ReplacedError struct {
	// ID names the peer.
	ID string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return "another connection to " + e.ID + " is in use"
}
