package relay

// Finish ends a streamed answer that is whole.
type Finish struct {
	// Handle is the request.
	Handle Handle
}

func (Finish) isAction() {}
