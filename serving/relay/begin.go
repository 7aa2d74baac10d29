package relay

// Begin gives the caller the head of a streamed answer.
type Begin struct {
	// Ref names the attempt whose head it is.
	Ref Ref
}

func (Begin) isAction() {}
