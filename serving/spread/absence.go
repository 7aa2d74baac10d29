package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// absence is a member that this node has lost or can't reach.
type absence struct {
	incarnation uint64
	deadline    clock.Instant
	// wasLinked is false for a target that there was never a link to.
	wasLinked bool
	// declared is true once this node has said that the member is gone. It says
	// so once for each link, so that a fault between two processes does not make
	// a member come and go.
	declared bool
}
