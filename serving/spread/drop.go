package spread

// Drop asks for the end of the link to a peer that is silent.
type Drop struct {
	// ID names the peer.
	ID string
}

func (Drop) isAction() {}
