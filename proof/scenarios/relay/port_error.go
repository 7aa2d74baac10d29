package relay

// PortError reports that no port is free for both TCP and UDP.
type PortError struct {
	// Err is the last cause.
	Err error
}

// Error implements error.
func (e *PortError) Error() string {
	return "no port for TCP and UDP: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Err }
