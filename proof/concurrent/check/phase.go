package check

// phase is the state of a non-idempotent request in its model.
type phase int

// The phases.
const (
	// absent requests have not run.
	absent phase = iota
	// ran requests have run once; what they answer may be known.
	ran
)
