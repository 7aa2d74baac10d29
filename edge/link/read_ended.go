package link

// readEnded is the event of a reader that has stopped because its link failed or
// was closed.
type readEnded struct {
	slot *slot
	err  error
}

func (readEnded) isEvent() {}
