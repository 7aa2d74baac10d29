package relay

// StartStream sends the head of a streamed response to the caller.
type StartStream struct {
	// Ref is the attempt whose head is sent.
	Ref AttemptRef
}

func (StartStream) isAction() {}
