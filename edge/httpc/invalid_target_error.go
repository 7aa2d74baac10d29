package httpc

import "strconv"

// InvalidTargetError reports a path that is not valid in a request line: it does
// not start with a slash or contains a space or a control character.
type InvalidTargetError struct {
	// Target is the path.
	Target string
}

// Error implements error.
func (e *InvalidTargetError) Error() string {
	return "invalid request target " + strconv.Quote(e.Target)
}
