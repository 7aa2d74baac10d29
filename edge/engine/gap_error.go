package engine

import "fmt"

// GapError reports a token that does not follow the last one.
type GapError struct {
	// Want is the index of the next token.
	Want int
	// Got is the index of the token that came.
	Got int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("token %d came where token %d is next", e.Got, e.Want)
}
