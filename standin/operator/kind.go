package operator

// Kind says whether the requests of a route may be repeated.
type Kind string

// The kinds.
const (
	// Streaming answers come piece by piece.
	Streaming Kind = "streaming"
	// Idempotent requests may run again.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may not.
	NonIdempotent Kind = "non_idempotent"
)
