package ring

// ClosedError reports the use of a ring after Close. An offered value was not
// accepted.
type ClosedError struct {
	// Ring is the name of the ring.
	Ring string
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "ring " + e.Ring + " is closed"
}
