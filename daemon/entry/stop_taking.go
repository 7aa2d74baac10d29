package entry

// stopTaking makes dispatch refuse requests that come from now on.
type stopTaking struct{}

func (stopTaking) isDispatchMessage() {}
