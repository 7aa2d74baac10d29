package request

// Outcome is how a request ended. Every request ends with one of the three
// values below.
type Outcome string

// The outcomes.
const (
	// Completed requests have a whole answer.
	Completed Outcome = "completed"
	// NotRun requests were refused and no upstream has acted on them. An earlier
	// submission under the same key keeps its own outcome.
	NotRun Outcome = "not_run"
	// OutcomeUnknown requests failed and may or may not have been acted on.
	OutcomeUnknown Outcome = "unknown"
)
