package link

// statusRequested is the event of a call to Links.RequestStatus.
type statusRequested struct {
	reply func([]Status)
}

func (statusRequested) isEvent() {}
