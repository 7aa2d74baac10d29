package relay

// Refuse answers the caller in place of an upstream.
type Refuse struct {
	// Handle is the request.
	Handle Handle
	// Refusal says why.
	Refusal Refusal
}

func (Refuse) isAction() {}
