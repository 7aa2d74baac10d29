package callers

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	// Repeatable is an idempotent request to a model engine.
	Repeatable Kind = "repeatable"
	// Once is a non-idempotent request to a model engine.
	Once Kind = "once"
	// Boarding is a call of a plain service that runs at most once.
	Boarding Kind = "boarding"
	// Lookup is an idempotent call of a plain service.
	Lookup Kind = "lookup"
)

// IsIdempotent reports whether a request of this kind may run again.
func (k Kind) IsIdempotent() bool {
	return k == Repeatable || k == Lookup
}

// IsCall reports whether it goes to a plain service.
func (k Kind) IsCall() bool {
	return k == Boarding || k == Lookup
}
