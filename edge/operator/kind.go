package operator

// Kind says what an operator asks for.
type Kind int

// The kinds of command.
const (
	// MakePlan asks for the plan of an intent.
	MakePlan Kind = iota + 1
	// ConfirmPlan confirms a plan.
	ConfirmPlan
	// ShowPlan asks for one plan.
	ShowPlan
	// ListPlans asks for the history of plans.
	ListPlans
	// ShowIntent asks for the configuration in force.
	ShowIntent
	// ShowStatus asks for processes, fleet and duties.
	ShowStatus
)
