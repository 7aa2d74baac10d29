package follow

// linkDown reports that the link to a peer has ended, and why.
type linkDown struct {
	id  string
	err error
}

func (linkDown) isEvent() {}
