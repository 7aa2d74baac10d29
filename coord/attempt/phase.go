package attempt

// phase is where a claim stands.
type phase uint8

const (
	phaseIdle       phase = iota
	phaseClaiming         // a claim is being written or read back
	phaseHeld             // may send
	phaseSent             // sent, or attached to an exchange that was sent
	phaseFinishing        // the outcome is being written
	phaseRefused          // never sends; the key may be freed
	phaseCanceled         // never sends; a call of the claim is outstanding
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
