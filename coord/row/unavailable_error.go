package row

// UnavailableError reports that the table service rejected a call or could not be
// reached. The call had no effect.
type UnavailableError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "table service unavailable: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
