package dispatch

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Reattach takes up the stream of an attempt that goes on at its upstream after
// its connection broke. It runs nothing.
type Reattach struct {
	// Ref names the attempt.
	Ref Ref
	// Address is the IP and port of the upstream.
	Address string
	// FromToken is the index of the first token wanted.
	FromToken int
	// Deadline is when the answer is of no use any more.
	Deadline clock.Instant
}

func (Reattach) isAction() {}
