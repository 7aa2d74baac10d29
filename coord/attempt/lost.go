package attempt

// Lost says that a successor did not get the claim that was handed over, as far
// as it knows. Another successor may hold it, so the outcome is unknown here. A
// new claim may be made from the same handoff.
type Lost struct {
	// Err is as in Refuse.
	Err error
}

func (Lost) isStep() {}
