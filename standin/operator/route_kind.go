package operator

// RouteKind is how the requests of a route are answered and whether they may run
// more than once.
type RouteKind string

// Kinds of routes.
const (
	// Streaming requests are answered by a stream of events.
	Streaming RouteKind = "streaming"
	// Idempotent requests may run more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = "non_idempotent"
)
