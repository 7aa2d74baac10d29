package dispatch

// Abort stops an attempt at its upstream.
type Abort struct {
	// Ref identifies the attempt.
	Ref StreamRef
	// Address is the IP and port of the upstream.
	Address string
}

func (Abort) isAction() {}
