package dispatch

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Reattach reconnects to the stream of an attempt that is still running at its
// upstream. It does not start the attempt again.
type Reattach struct {
	// Ref identifies the new stream of the attempt.
	Ref StreamRef
	// Address is the IP and port of the upstream.
	Address string
	// FromToken is the index of the first token to be sent.
	FromToken int
	// Deadline is the deadline of the whole answer.
	Deadline clock.Instant
}

func (Reattach) isAction() {}
