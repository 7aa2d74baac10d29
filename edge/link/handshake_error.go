package link

// HandshakeError reports a connection on which the exchange of Hello messages
// failed or the peer's Hello was not valid.
type HandshakeError struct {
	// Address is the address of the peer.
	Address string
	// Problem describes the failed step or check.
	Problem string
	// Err is the cause; nil for a failed check.
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
