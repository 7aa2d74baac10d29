package link

// NoLinkError reports that a message was not sent because there is no link to its
// receiver.
type NoLinkError struct {
	// ID is the ID of the receiver.
	ID string
}

// Error implements error.
func (e *NoLinkError) Error() string {
	return "no link to " + e.ID
}
