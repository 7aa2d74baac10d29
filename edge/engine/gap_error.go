package engine

import "fmt"

// GapError reports a token whose index is not the next one.
type GapError struct {
	// Want is the expected index.
	Want int
	// Got is the received index.
	Got int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("token %d came where token %d is next", e.Got, e.Want)
}
