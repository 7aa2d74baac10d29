package spread

// Send asks for a message to be sent to a linked peer. It may be lost.
type Send struct {
	// To names the peer.
	To string
	// Message must not be changed.
	Message Message
}

func (Send) isAction() {}
