package spread

// Send is the Action to send a message to a linked peer. The message may be
// lost.
type Send struct {
	// To is the ID of the peer.
	To string
	// Message is shared and must not be modified.
	Message Message
}

func (Send) isAction() {}
