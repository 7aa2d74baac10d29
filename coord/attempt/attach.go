package attempt

// Attach says that the claim is held and that an earlier holder has sent the
// request: the exchange may be resumed and finished, but not sent again.
type Attach struct {
	// Attempt is the number of the attempt.
	Attempt uint32
}

func (Attach) isStep() {}
