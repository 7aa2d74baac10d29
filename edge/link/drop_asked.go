package link

// dropAsked asks for the end of a link to a peer that does not answer.
type dropAsked struct {
	id string
}

func (dropAsked) isEvent() {}
