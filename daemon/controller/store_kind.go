package controller

// storeKind says what the store duty is asked for.
type storeKind int

const (
	loadHead storeKind = iota + 1
	loadPlan
	listPlans
	savePlan
	confirmPlan
)
