package relay

import "time"

// Refusal ends a request without an answer of an upstream.
type Refusal struct {
	// Reason says why.
	Reason Reason
	// NotRun is true when no upstream has run the request, and none will.
	NotRun bool
	// RetryAfter is when the caller may come back; 0 says nothing.
	RetryAfter time.Duration
}
