package attempt

// Done reports that no step is left.
type Done struct {
	// Err is nil if the row matches what the holder knows, or if a Resolver
	// found no row. Otherwise it is a *StoreError or *InvalidRecordError: the
	// outcome that the holder knows is valid, but the row may still be Claimed.
	Err error
}

func (Done) isStep() {}
