package plan

// Record is a plan as it is kept.
type Record struct {
	// Plan is the plan as made.
	Plan Plan `json:"plan"`
	// Confirmed is nil until the plan was confirmed.
	Confirmed *Confirmation `json:"confirmed"`
}
