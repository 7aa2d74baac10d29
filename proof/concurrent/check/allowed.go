package check

// Allowed tells which outcomes other than a complete response are no violation.
type Allowed struct {
	// Refused allows refusals as not run.
	Refused bool
	// Unknown allows unknown outcomes of non-idempotent requests.
	Unknown bool
	// UnknownIdempotent allows unknown outcomes of idempotent requests.
	UnknownIdempotent bool
}
