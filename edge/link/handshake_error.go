package link

// HandshakeError reports a connection on which no valid Hello came.
type HandshakeError struct {
	// Address is the address of the peer.
	Address string
	// Problem says what was wrong.
	Problem string
	// Err is the cause; nil if Problem says all.
	Err error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	if e.Err == nil {
		return "handshake with " + e.Address + ": " + e.Problem
	}
	return "handshake with " + e.Address + ": " + e.Problem + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }
