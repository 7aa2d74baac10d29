package attempt

import "time"

// ExpiredError reports that the right to send lapsed before the request was
// sent.
type ExpiredError struct {
	// ID names the request.
	ID ID
	// Late is the time since the deadline.
	Late time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "right to send request " + e.ID.String() + " lapsed " + e.Late.String() + " ago"
}
