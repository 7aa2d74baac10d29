package attempt

import "time"

// ExpiredError reports that the right to send expired before the request was
// sent.
type ExpiredError struct {
	// ID names the request.
	ID ID
	// Late is how long ago the deadline passed.
	Late time.Duration
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return "right to send request " + e.ID.String() + " expired " + e.Late.String() + " ago"
}
