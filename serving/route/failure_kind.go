package route

// FailureKind is how an attempt at a replica failed.
type FailureKind int

// The kinds of failure.
const (
	// Canceled attempts were given up by the gateway or the caller; the replica
	// is not at fault.
	Canceled FailureKind = iota
	// Refused attempts were refused by the replica as not run.
	Refused
	// Broken attempts lost their connection or got an invalid answer.
	Broken
	// TimedOut attempts got no answer in time.
	TimedOut
)
