package relay

// Ran says that an upstream began to run a request. It comes once for each
// request.
type Ran struct {
	// Customer names the customer; empty for none.
	Customer string
}

func (Ran) isAction() {}
