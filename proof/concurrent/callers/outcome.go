package callers

// Outcome is the final result of a request as its caller knows it.
type Outcome string

// The outcomes.
const (
	// Completed is a whole answer.
	Completed Outcome = "completed"
	// NotRun is a refusal that says that nothing ran.
	NotRun Outcome = "not_run"
	// Unknown is a request that may have run.
	Unknown Outcome = "unknown"
	// Corrupt is an answer that was said to be whole and is not.
	Corrupt Outcome = "corrupt"
)
