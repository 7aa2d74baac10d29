package relay

// Abort cuts off a streamed answer, so that the caller sees that it is not
// whole.
type Abort struct {
	// Handle is the request.
	Handle Handle
}

func (Abort) isAction() {}
