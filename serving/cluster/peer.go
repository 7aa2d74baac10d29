package cluster

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// peer is the state of one gateway as last read.
type peer struct {
	record Record
	// changedAt is when the record was last seen to change, or for how long its writer had
	// been silent when it was first seen, moved forward by periods without successful reads.
	changedAt clock.Instant
	// writtenAt is the best estimate of when the record was written, moved forward
	// in the same way.
	writtenAt clock.Instant
	// publishedAt is when the record was written by its writer's clock, or first seen
	// if that is not known, but at most maxRecordDelay before it was seen. It is never
	// moved.
	publishedAt clock.Instant
	// countedAt is when the use of limits in the record was counted, found likewise.
	countedAt clock.Instant
}
