package attempt

// PhaseError reports a call that the claim does not allow in its current phase.
// If MaySend returns it, the request must not be sent.
type PhaseError struct {
	// ID names the request.
	ID ID
	// Call names the operation that was called. MarkSent, MarkNotSent and
	// MarkRefusedByUpstream appear without Mark, and MarkUnknown as Lose.
	Call string
	// Phase is the phase of the claim.
	Phase string
}

// Error implements error.
func (e *PhaseError) Error() string {
	return e.Call + " of request " + e.ID.String() + " while " + e.Phase
}
