package answer

import "fmt"

// GapError reports a piece whose index is not the next one.
type GapError struct {
	// Want is the index that is next.
	Want int
	// Got is the index of the piece.
	Got int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("piece %d is out of order, want piece %d", e.Got, e.Want)
}
