package follow

// linkUp reports that there is a link to a peer.
type linkUp struct {
	id string
}

func (linkUp) isEvent() {}
