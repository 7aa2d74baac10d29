package relay

// Pass gives the caller a part of a streamed answer.
type Pass struct {
	// Handle is the request.
	Handle Handle
	// Bytes are whole events.
	Bytes []byte
}

func (Pass) isAction() {}
