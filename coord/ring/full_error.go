package ring

import "strconv"

// FullError reports an offer to a ring without a free slot. The value was not
// accepted.
type FullError struct {
	// Ring is the name of the ring.
	Ring string
	// Capacity is the number of slots of the ring.
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return "ring " + e.Ring + " is full at " + strconv.Itoa(e.Capacity)
}
