package relay

// Abort breaks off a streamed response in a way that shows the caller that it is
// incomplete.
type Abort struct {
	// Handle is the request.
	Handle Handle
}

func (Abort) isAction() {}
