package request

import "time"

// Refusal reports that a request did not complete, and what that means.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Reason says why.
	Reason Reason
	// Detail is a sentence for the caller, without prompt text or secrets.
	Detail string
	// Gateway names the gateway that has the request, if another one does.
	Gateway string
	// RetryAfter is when the caller may try again; 0 means that it should not.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}
