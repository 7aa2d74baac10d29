package check

// Allowed says which outcomes besides a whole answer are no breach.
type Allowed struct {
	// Refused allows refusals as not run.
	Refused bool
	// Unknown allows unknown outcomes of non-idempotent requests.
	Unknown bool
	// UnknownIdempotent allows unknown outcomes of idempotent requests.
	UnknownIdempotent bool
}
