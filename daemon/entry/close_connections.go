package entry

// closeConnections makes dispatch close each connection after its next response.
type closeConnections struct{}

func (closeConnections) isDispatchMessage() {}
