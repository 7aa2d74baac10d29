package link

// statusAsked asks for the state of all links.
type statusAsked struct {
	answer func([]Status)
}

func (statusAsked) isEvent() {}
