package attempt

// StoreError reports that the table service failed or that the outcome of a
// write is still unknown after several tries.
type StoreError struct {
	// ID names the request.
	ID ID
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *StoreError) Error() string {
	return "request " + e.ID.String() + " can't be recorded: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error {
	return e.Err
}
