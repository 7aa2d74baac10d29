package dispatch

// phase is where a request is between its arrival and its end.
type phase int

const (
	// phaseQueued requests wait for an upstream.
	phaseQueued phase = iota
	// phaseClaiming requests wait for the record of their attempt.
	phaseClaiming
	// phaseRunning requests have an attempt at an upstream.
	phaseRunning
	// phaseHandingOver requests were offered to another gateway.
	phaseHandingOver
	// phaseEnded requests have ended; their answer is kept for a while.
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
