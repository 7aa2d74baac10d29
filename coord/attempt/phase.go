package attempt

// phase is the current state of a Claim.
type phase uint8

const (
	phaseIdle       phase = iota
	phaseClaiming         // the claim is being written or read back
	phaseHeld             // may send until the deadline
	phaseSent             // sent, or attached to an exchange that was sent
	phaseFinishing        // the outcome is being written
	phaseRefused          // never sends; the key may be freed
	phaseCanceled         // never sends; a read or write is outstanding
	phaseAbandoning       // NotRun is being written
	phaseReleased         // handed over
	phaseEnded
)

// String implements fmt.Stringer.
func (p phase) String() string {
	names := [...]string{
		"idle", "claiming", "held", "sent", "finishing", "refused", "canceled", "abandoning", "released", "ended",
	}
	return names[p]
}
