package attempt

// Done says that nothing is left to do.
type Done struct {
	// Err is nil if the row says what the holder knows. Otherwise it is a
	// *StoreError: the outcome is as the holder knows it, but the row may
	// still say Claimed.
	Err error
}

func (Done) isStep() {}
