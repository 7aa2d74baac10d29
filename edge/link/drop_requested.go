package link

// dropRequested is the event of a call to Links.Drop.
type dropRequested struct {
	id string
}

func (dropRequested) isEvent() {}
