package table

// validationError reports a request that the protocol or this subset of it
// does not allow.
type validationError struct {
	message string
}

// Error implements error.
func (e *validationError) Error() string { return e.message }
