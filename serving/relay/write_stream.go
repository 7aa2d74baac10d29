package relay

// WriteStream sends a part of a streamed response to the caller.
type WriteStream struct {
	// Handle is the request.
	Handle Handle
	// Bytes are whole events.
	Bytes []byte
}

func (WriteStream) isAction() {}
