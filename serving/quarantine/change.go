package quarantine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of changes.
const (
	// Quarantined: requests with the part are refused from now on.
	Quarantined ChangeKind = "prompt_part_quarantined"
	// Probing: one request with the part was let through on trial.
	Probing ChangeKind = "prompt_part_probed"
	// Released: the part was answered after all.
	Released ChangeKind = "prompt_part_released"
)

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
