package lease

// Ended reports that the release has finished and no steps follow.
type Ended struct {
	// Err is nil if the row is known not to be held by this process. Otherwise other
	// candidates may have to wait for the TTL.
	Err error
}

func (Ended) isStep() {}
