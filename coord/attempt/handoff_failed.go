package attempt

// HandoffFailed reports that a successor could not establish that it holds the
// claim that was handed over. Another successor may hold it, so the outcome of
// the request is unknown here. The caller may make a new claim from the same
// Handoff.
type HandoffFailed struct {
	// Err is an error as in Refuse.
	Err error
}

func (HandoffFailed) isStep() {}
