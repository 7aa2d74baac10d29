package quarantine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Change is a change of the quarantine of a part, for the log.
type Change struct {
	// Kind is what has changed.
	Kind ChangeKind
	// Part is the ID of the part.
	Part uint64
	// Service names the service whose upstreams crashed.
	Service string
	// Crashes is the number of crashes that count against the part.
	Crashes int
	// Own is true if this gateway decided it, and false if another one did.
	Own bool
	// Until is the end of the quarantine.
	Until clock.Instant
}
