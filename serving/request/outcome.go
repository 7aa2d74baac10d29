package request

// Outcome is how a request ended. There is no fourth.
type Outcome string

// The outcomes.
const (
	// Completed requests have a whole answer.
	Completed Outcome = "completed"
	// NotRun requests were refused and no upstream has acted on them.
	NotRun Outcome = "not_run"
	// Unknown requests may or may not have been acted on.
	Unknown Outcome = "unknown"
)
