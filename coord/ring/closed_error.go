package ring

// ClosedError reports the use of a ring after Close. The value was not taken.
type ClosedError struct {
	// Ring is the name of the ring.
	Ring string
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "ring " + e.Ring + " is closed"
}
