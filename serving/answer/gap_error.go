package answer

import "fmt"

// GapError reports a piece that does not follow the last one.
type GapError struct {
	// Want is the index of the next piece.
	Want int
	// Got is the index of the piece that was given.
	Got int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("piece %d does not follow, piece %d is next", e.Got, e.Want)
}
