package dispatch

// Detach closes the connection of an attempt without stopping it at its
// upstream.
type Detach struct {
	// Ref identifies the stream.
	Ref StreamRef
}

func (Detach) isAction() {}
