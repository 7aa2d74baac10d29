package operator

// Code is a kind of problem.
type Code string

// The kinds of problem.
const (
	// BadRequest is a request that can't be understood.
	BadRequest Code = "bad_request"
	// InvalidIntent is an intent with faults.
	InvalidIntent Code = "invalid_intent"
	// NotFound is a path or plan that does not exist.
	NotFound Code = "not_found"
	// Stale is a plan against an older configuration.
	Stale Code = "stale"
	// Altered is a plan that is not as it was made.
	Altered Code = "altered"
	// Expired is a plan that is too old.
	Expired Code = "expired"
	// OverBudget is a plan that costs more than agreed.
	OverBudget Code = "over_budget"
	// Unavailable is a failure before anything took effect.
	Unavailable Code = "unavailable"
	// OutcomeUnknown is a confirmation which may have taken effect. Confirming
	// again is safe.
	OutcomeUnknown Code = "outcome_unknown"
	// Internal is any other failure.
	Internal Code = "internal"
)
