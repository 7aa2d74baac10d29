package link

// DialError reports a failed attempt to connect.
type DialError struct {
	// Address is the address that was dialed.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DialError) Error() string {
	return "dial " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
