package spread

// DropLink is the Action to close the link to a silent peer. It is repeated
// with each Tick until LinkDown.
type DropLink struct {
	// ID is the ID of the peer.
	ID string
}

func (DropLink) isAction() {}
