package httpd

// turns are the exchanges of one connection that have not ended. A connection replaces
// them as a whole, so that no exchange can overtake another one.
type turns struct {
	// current is being served; nil if none is.
	current *Exchange
	// queued is served next; nil if there is none.
	queued *Exchange
	// rejection is sent after the exchanges, in response to bytes that are no request;
	// nil if there were none.
	rejection *MalformedError
	// isOver is true if no further exchange is served.
	isOver bool
}

// after returns the turns after the end of the current exchange; nil if the connection
// waits for a request.
func (t *turns) after() *turns {
	switch {
	case t.current.isLast:
		return &turns{isOver: true}
	case t.queued != nil:
		return &turns{current: t.queued, rejection: t.rejection}
	case t.rejection != nil:
		return &turns{rejection: t.rejection, isOver: true}
	default:
		return nil
	}
}
