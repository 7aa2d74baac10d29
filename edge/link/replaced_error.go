package link

// ReplacedError reports a connection that was closed in favor of another one
// between the same processes.
type ReplacedError struct {
	// ID is the ID of the peer.
	ID string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return "connection to " + e.ID + " replaced by another one"
}
