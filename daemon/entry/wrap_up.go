package entry

// wrapUp makes each answer the last one of its connection.
type wrapUp struct{}

func (wrapUp) isDispatchMessage() {}
