package check

// Rule names an invariant of a history.
type Rule string

// The rules.
const (
	// WholeAnswer: a completed request has the whole answer to its own prompt.
	WholeAnswer Rule = "whole answer"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Rule = "at most once"
	// NotRun: what was refused as not run did not run.
	NotRun Rule = "refused is not run"
	// Ran: what completed did run.
	Ran Rule = "completed has run"
	// NoRefusal: no request is refused, unless Allowed permits it.
	NoRefusal Rule = "no refusal"
	// NoUnknown: no outcome is unknown, unless Allowed permits it.
	NoUnknown Rule = "no unknown outcome"
	// Linearizable: the history of a key fits the model of a request.
	Linearizable Rule = "linearizable"
)
