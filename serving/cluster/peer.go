package cluster

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// peer is a gateway as last read.
type peer struct {
	card    Card
	former  Card // as read before
	changed clock.Instant
	// written is when the row was written, as far as that is known.
	written clock.Instant
	// seen is when the row was seen to change, whatever time has been without reads.
	seen clock.Instant
}
