package limit

import "time"

// Decision is the decision on one request.
type Decision struct {
	Outcome Outcome
	// Holder is the gateway to ask.
	Holder Holder
	// RetryAfter is when the caller should try again.
	RetryAfter time.Duration
	// Facts are what the decision was based on.
	Facts Facts
}
