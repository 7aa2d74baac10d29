package relay

// EndStream ends a complete streamed response.
type EndStream struct {
	// Handle is the request.
	Handle Handle
}

func (EndStream) isAction() {}
