package follow

// linkDown says that the link to a peer has ended.
type linkDown struct {
	id  string
	err error
}

func (linkDown) isEvent() {}
