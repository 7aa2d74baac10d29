package quarantine

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of changes.
const (
	// Quarantined: requests with the part are refused from now on.
	Quarantined ChangeKind = "prompt_part_quarantined"
	// Probing: one request with the part was let through as a probe.
	Probing ChangeKind = "prompt_part_probed"
	// Released: the part was answered after all.
	Released ChangeKind = "prompt_part_released"
)
