package row

import "strconv"

// TimelineError reports a response that belongs to another timeline of the table
// service than the call.
type TimelineError struct {
	// Call is the timeline that the call relies on, and Response that of the response.
	Call, Response uint64
}

// Error implements error.
func (e *TimelineError) Error() string {
	return "response of timeline " + strconv.FormatUint(e.Response, 10) +
		" to a call of timeline " + strconv.FormatUint(e.Call, 10)
}
