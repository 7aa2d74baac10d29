package relay

// Cancel ends the connection of an attempt. Nothing more is told of it.
type Cancel struct {
	// Ref names the attempt.
	Ref Ref
}

func (Cancel) isAction() {}
