package lease

// Ended says that the lease was given up and that nothing is left to do.
type Ended struct {
	// Err is nil if the row says so. Otherwise others wait for the TTL.
	Err error
}

func (Ended) isStep() {}
