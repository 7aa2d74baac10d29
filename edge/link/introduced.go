package link

// introduced is the end of a handshake.
type introduced struct {
	slot *slot
	err  error
}

func (introduced) isEvent() {}
