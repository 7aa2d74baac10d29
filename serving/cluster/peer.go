package cluster

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// peer is the state of one gateway as last read.
type peer struct {
	record   Record
	previous Record // at the read before
	// changedAt is when the record was last seen to change, moved forward by
	// periods without successful reads.
	changedAt clock.Instant
	// writtenAt is the best estimate of when the record was written, moved forward
	// in the same way.
	writtenAt clock.Instant
	// changeSeenAt is when the record was last seen to change. It is never moved.
	changeSeenAt clock.Instant
}
