package relay

import "time"

// Refusal is the gateway's own response to a request that gets none from an
// upstream.
type Refusal struct {
	// Reason is the cause.
	Reason Reason
	// NotRun is true if no upstream has run the request and none will.
	NotRun bool
	// RetryAfter is how long the caller should wait before it retries; 0 if that is
	// not known.
	RetryAfter time.Duration
}
