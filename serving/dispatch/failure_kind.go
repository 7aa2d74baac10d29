package dispatch

// FailureKind says what a failed attempt means for the request.
type FailureKind int

// The kinds of failure.
const (
	// NotSent attempts left no byte of the request outside this process.
	NotSent FailureKind = iota
	// RefusedByUpstream attempts were refused by the upstream, which says that
	// it did not run them.
	RefusedByUpstream
	// Broken attempts may or may not have run.
	Broken
	// TimedOut attempts may or may not have run, and gave no sign in time.
	TimedOut
	// Gone attempts can't be attached to again: the upstream does not know them.
	Gone
)
