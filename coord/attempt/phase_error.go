package attempt

// PhaseError reports a call that the claim does not allow where it stands. For
// MaySend it means that the request must not be sent.
type PhaseError struct {
	// ID names the request.
	ID ID
	// Call is the name of the call.
	Call string
	// Phase is where the claim stands.
	Phase string
}

// Error implements error.
func (e *PhaseError) Error() string {
	return e.Call + " of request " + e.ID.String() + " while " + e.Phase
}
