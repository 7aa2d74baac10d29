package dispatch

// Detach ends the connection of an attempt that goes on at its upstream.
type Detach struct {
	// Ref names the attempt.
	Ref Ref
}

func (Detach) isAction() {}
