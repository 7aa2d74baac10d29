package operator

// History is the response to GET /v1/plans.
type History struct {
	// Plans are the plans, latest first.
	Plans []PlanSummary `json:"plans"`
}
