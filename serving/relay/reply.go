package relay

// Reply sends the complete response of an attempt to the caller.
type Reply struct {
	// Ref is the attempt, whose status and header are sent too.
	Ref AttemptRef
	// Body is the response body.
	Body []byte
}

func (Reply) isAction() {}
