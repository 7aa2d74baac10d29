package lease

// NotHeldError reports that the lease is not held at this instant: nothing may
// be done in its name.
type NotHeldError struct {
	// Name names the lease.
	Name string
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return "lease " + e.Name + " is not held"
}
