package relay

// Reply gives the caller the whole answer of an attempt.
type Reply struct {
	// Ref names the attempt whose head it is.
	Ref Ref
	// Body is the whole body.
	Body []byte
}

func (Reply) isAction() {}
