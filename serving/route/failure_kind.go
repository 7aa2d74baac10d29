package route

// FailureKind is the way in which an attempt at a replica failed.
type FailureKind int

// The kinds of failure.
const (
	// Canceled means that the gateway or the client canceled the attempt. It
	// doesn't count against the replica.
	Canceled FailureKind = iota
	// Refused means that the replica rejected the request without running it.
	// It doesn't count against the replica.
	Refused
	// Broken means that the connection was lost or the response was invalid.
	Broken
	// TimedOut means that the response didn't arrive in time.
	TimedOut
)
