package operator

// History is the answer to a list of plans, latest first.
type History struct {
	// Plans are the plans.
	Plans []Summary `json:"plans"`
}
