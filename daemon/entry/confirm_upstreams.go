package entry

// confirmUpstreams reports that the list of upstreams has not changed.
type confirmUpstreams struct{}

func (confirmUpstreams) isDispatchMessage() {}
