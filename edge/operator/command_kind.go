package operator

// CommandKind is the kind of a Command.
type CommandKind int

// The command kinds.
const (
	// MakePlan makes a plan for an intent.
	MakePlan CommandKind = iota + 1
	// ConfirmPlan confirms a plan.
	ConfirmPlan
	// ShowPlan shows one plan.
	ShowPlan
	// ListPlans lists the history of plans.
	ListPlans
	// ShowIntent shows the configuration in force.
	ShowIntent
	// ShowStatus shows the status of the processes, the fleet and the control
	// duties.
	ShowStatus
)
