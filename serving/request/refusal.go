package request

import "time"

// Refusal is the error that a caller gets for a request that did not complete.
// Only its Outcome says whether the request may have run.
type Refusal struct {
	// Outcome is NotRun or OutcomeUnknown.
	Outcome Outcome
	// Reason classifies the error.
	Reason Reason
	// Detail is a sentence for the caller, without prompt text or secrets.
	Detail string
	// Gateway names the gateway that has the request, if it is another one.
	Gateway string
	// RetryAfter is how long the caller should wait before it tries again; 0
	// means that it should not.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}
