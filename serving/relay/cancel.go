package relay

// Cancel closes the connection of an attempt. Later reports about the attempt
// are ignored.
type Cancel struct {
	// Ref is the attempt.
	Ref AttemptRef
}

func (Cancel) isAction() {}
