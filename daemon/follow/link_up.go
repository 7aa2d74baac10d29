package follow

// linkUp says that there is a link to a peer.
type linkUp struct {
	id string
}

func (linkUp) isEvent() {}
