package site

// UnknownPoolError reports the start of an instance for a pool that no member
// has.
type UnknownPoolError struct {
	// Member names the member.
	Member string
	// Pool names the pool.
	Pool string
}

// Error implements error.
func (e *UnknownPoolError) Error() string {
	return "member " + e.Member + " has no pool " + e.Pool
}
