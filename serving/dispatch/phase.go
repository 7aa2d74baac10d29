package dispatch

// phase is where a request is between its arrival and its end.
type phase int

const (
	// phaseQueued requests wait in the queue for an upstream.
	phaseQueued phase = iota
	// phaseClaiming requests wait for a write or read of their record: to claim
	// an attempt, or to record that one was not run.
	phaseClaiming
	// phaseRunning requests have an attempt at an upstream.
	phaseRunning
	// phaseHandingOver requests were offered to another gateway, which has not
	// replied yet.
	phaseHandingOver
	// phaseEnded requests have ended; they are kept for Config.Retention.
	phaseEnded
)

var phaseNames = map[phase]string{
	phaseQueued:      "queued",
	phaseClaiming:    "claiming",
	phaseRunning:     "running",
	phaseHandingOver: "handing_over",
	phaseEnded:       "ended",
}

// String implements fmt.Stringer.
func (p phase) String() string {
	return phaseNames[p]
}
