package httpc

import "strconv"

// TargetError reports a path that can't stand in a request line.
type TargetError struct {
	// Target is the path.
	Target string
}

// Error implements error.
func (e *TargetError) Error() string {
	return "not a request target: " + strconv.Quote(e.Target)
}
