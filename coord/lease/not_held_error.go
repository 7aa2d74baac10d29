package lease

// NotHeldError reports that the lease is not held, so the operation that it
// protects must not be performed.
type NotHeldError struct {
	// Name names the lease.
	Name string
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return "lease " + e.Name + " is not held"
}
