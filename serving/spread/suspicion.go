package spread

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// suspicion tracks a member whose link was lost, or that was never reached. It
// ends when a link to the member comes up.
type suspicion struct {
	incarnation uint64
	// deadline is when the member is declared gone.
	deadline clock.Instant
	// wasLinked is false for a target that was never reached.
	wasLinked bool
	// isDeclared is true once this node has declared the member gone. It does so
	// once per suspicion. Otherwise the member would flap between gone and live
	// if just these two processes can't reach each other.
	isDeclared bool
}
