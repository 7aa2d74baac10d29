package operator

// Code classifies a Problem.
type Code string

// The problem codes.
const (
	// BadRequest is a malformed request.
	BadRequest Code = "bad_request"
	// InvalidIntent is an intent that violates a rule; Problem.Faults lists the
	// violations.
	InvalidIntent Code = "invalid_intent"
	// NotFound is a path or plan that does not exist.
	NotFound Code = "not_found"
	// Stale is a plan that was made against an older configuration.
	Stale Code = "stale"
	// Altered is a plan whose content changed after it was made.
	Altered Code = "altered"
	// Expired is a plan that is too old to be confirmed.
	Expired Code = "expired"
	// OverBudget is a plan that costs more than the agreed budget.
	OverBudget Code = "over_budget"
	// Unavailable is a failure before anything took effect.
	Unavailable Code = "unavailable"
	// OutcomeUnknown is a confirmation that may have taken effect. It is safe to
	// confirm again.
	OutcomeUnknown Code = "outcome_unknown"
	// Internal is any other failure.
	Internal Code = "internal"
)
