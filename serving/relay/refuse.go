package relay

// Refuse sends a Refusal to the caller.
type Refuse struct {
	// Handle is the request.
	Handle Handle
	// Refusal is the response.
	Refusal Refusal
}

func (Refuse) isAction() {}
