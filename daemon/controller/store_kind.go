package controller

// storeKind is the kind of a storeRequest.
type storeKind int

const (
	loadHead storeKind = iota + 1
	loadPlan
	listPlans
	savePlan
	confirmPlan
)
