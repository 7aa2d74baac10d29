package link

// handshakeDone is the event of a finished handshake; err is nil if it succeeded.
type handshakeDone struct {
	slot *slot
	err  error
}

func (handshakeDone) isEvent() {}
