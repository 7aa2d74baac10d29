package link

// ended is the end of the reading of a link.
type ended struct {
	slot *slot
	err  error
}

func (ended) isEvent() {}
