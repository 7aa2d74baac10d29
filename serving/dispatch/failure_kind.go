package dispatch

// FailureKind classifies failures by what they mean for the request.
type FailureKind int

// The kinds of failure.
const (
	// NotSent means that no byte of the request has left this process.
	NotSent FailureKind = iota
	// RefusedByUpstream means that the upstream says it did not run the request.
	RefusedByUpstream
	// Broken means that the connection broke or the answer was invalid; the
	// request may have run.
	Broken
	// TimedOut means that the upstream did not respond in time; the request may
	// have run.
	TimedOut
	// AttemptNotFound means that the upstream does not know the attempt, so its
	// stream can't be reattached.
	AttemptNotFound
)
